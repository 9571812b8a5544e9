#include "entry/ConfigurationService.h"

#include "base/Identifier.h"
#include "configuration/ConfigurationValue.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds ConfirmDelay {200};
constexpr int ConfirmAttempts = 10;

Error unconfirmed()
{
    return {ErrorKind::StoreUnavailable, "the platform's store does not answer, so the change is not acknowledged",
        "read the entry when the store is available again, and repeat the change if it did not take effect"};
}

}

ConfigurationService::ConfigurationService(
    Store &store, Scheduler &scheduler, VersionedEntries &entries, Timeline &timeline)
    : m_store(store), m_scheduler(scheduler), m_entries(entries), m_timeline(timeline)
{
}

void ConfigurationService::write(const std::string &key, const Json &value, ChangeCondition condition, Handler handler)
{
    // The unique identifier in the value distinguishes this write from an equal one by another operator, in case the
    // answer of the store is lost and the entry has to be read to find out which write took effect.
    const std::string text = writeConfigurationValue(value, createIdentifier(0));
    const StoreEntry *current = m_entries.find(key);
    const StoreRevision before = current == nullptr ? MustNotExist : current->revision;
    const StoreRevision expected = condition.expected.value_or(before);
    m_store.write({key, text, expected, 0},
        [this, key, text, expected, handler = std::move(handler)](const Result<StoreRevision> &result) {
            const Error *error = errorOf(result);
            if (error == nullptr) {
                const StoreRevision revision = std::get<StoreRevision>(result);
                m_entries.applyOwnWrite({key, text, revision, 0});
                m_timeline.record(
                    {.kind = "configuration.changed", .detail = key + " revision " + std::to_string(revision)});
                handler(revision);
            } else if (error->kind == ErrorKind::Conflict) {
                reportConflict(key, handler);
            } else {
                confirmWrite(key, text, expected, ConfirmAttempts, handler);
            }
        });
}

void ConfigurationService::confirmWrite(
    const std::string &key, const std::string &value, StoreRevision before, int attemptsLeft, Handler handler)
{
    if (attemptsLeft == 0) {
        handler(unconfirmed());
        return;
    }
    m_scheduler.after(ConfirmDelay, [this, key, value, before, attemptsLeft, handler = std::move(handler)] {
        m_store.read(
            key, [this, key, value, before, attemptsLeft, handler](const Result<std::optional<StoreEntry>> &result) {
                const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
                if (entry == nullptr) {
                    confirmWrite(key, value, before, attemptsLeft - 1, handler);
                    return;
                }
                const StoreRevision current = *entry ? (*entry)->revision : MustNotExist;
                if (*entry && (*entry)->value == value) {
                    m_entries.applyOwnWrite(**entry);
                    handler(current);
                } else if (current == before) {
                    handler(unconfirmed());
                } else {
                    reportConflict(key, handler);
                }
            });
    });
}

void ConfigurationService::reportConflict(const std::string &key, const Handler &handler)
{
    m_store.read(key, [handler](const Result<std::optional<StoreEntry>> &result) {
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        std::string current = "it does not exist";
        if (entry != nullptr && *entry) {
            current = "revision " + std::to_string((*entry)->revision) + ", " + (*entry)->value;
        }
        handler(Error {ErrorKind::Conflict, "the entry was changed in the meantime; current state: " + current,
            "repeat the change on the basis of the current value"});
    });
}

void ConfigurationService::erase(const std::string &key, ChangeCondition condition, Handler handler)
{
    const StoreEntry *current = m_entries.find(key);
    if (current == nullptr && !condition.expected) {
        handler(Error {ErrorKind::NotFound, "the entry does not exist", "list the entries to find its name"});
        return;
    }
    const StoreRevision expected = condition.expected ? *condition.expected : current->revision;
    m_store.erase(key, expected, [this, key, expected, handler = std::move(handler)](const Status &status) {
        const Error *error = errorOf(status);
        if (error == nullptr) {
            m_timeline.record({.kind = "configuration.erased", .detail = key});
            handler(expected);
        } else if (error->kind == ErrorKind::Conflict) {
            reportConflict(key, handler);
        } else if (error->kind == ErrorKind::NotFound) {
            handler(Error {ErrorKind::NotFound, "the entry does not exist", "list the entries to find its name"});
        } else {
            handler(unconfirmed());
        }
    });
}

}
