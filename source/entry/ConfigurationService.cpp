#include "entry/ConfigurationService.h"

#include "base/Identifier.h"
#include "configuration/ConfigurationValue.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds SettleDelay {200};
constexpr int SettleTries = 10;

Error unsettled()
{
    return {ErrorKind::StoreUnavailable, "the platform's store does not answer; the change is not acknowledged",
        "read the entry when the store is back and make the change again if it is not there"};
}

}

ConfigurationService::ConfigurationService(
    Store &store, Scheduler &scheduler, VersionedEntries &entries, Timeline &timeline)
    : m_store(store), m_scheduler(scheduler), m_entries(entries), m_timeline(timeline)
{
}

void ConfigurationService::write(const std::string &key, const Json &value, ChangeCondition condition, Handler handler)
{
    // The mark tells this change from an equal one of another operator when the store's answer is lost.
    const std::string text = writeConfigurationValue(value, createIdentifier(0));
    const StoreEntry *present = m_entries.find(key);
    const StoreRevision before = present == nullptr ? MustNotExist : present->revision;
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
                conflict(key, handler);
            } else {
                settle(key, text, expected, SettleTries, handler);
            }
        });
}

void ConfigurationService::settle(
    const std::string &key, const std::string &value, StoreRevision before, int triesLeft, Handler handler)
{
    if (triesLeft == 0) {
        handler(unsettled());
        return;
    }
    m_scheduler.after(SettleDelay, [this, key, value, before, triesLeft, handler = std::move(handler)] {
        m_store.read(
            key, [this, key, value, before, triesLeft, handler](const Result<std::optional<StoreEntry>> &result) {
                const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
                if (entry == nullptr) {
                    settle(key, value, before, triesLeft - 1, handler);
                    return;
                }
                const StoreRevision present = *entry ? (*entry)->revision : MustNotExist;
                if (*entry && (*entry)->value == value) {
                    m_entries.applyOwnWrite(**entry);
                    handler(present);
                } else if (present == before) {
                    handler(unsettled());
                } else {
                    conflict(key, handler);
                }
            });
    });
}

void ConfigurationService::conflict(const std::string &key, const Handler &handler)
{
    m_store.read(key, [handler](const Result<std::optional<StoreEntry>> &result) {
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        std::string present = "it does not exist";
        if (entry != nullptr && *entry) {
            present = "revision " + std::to_string((*entry)->revision) + ", " + (*entry)->value;
        }
        handler(Error {ErrorKind::Conflict, "the entry was changed by somebody else; present: " + present,
            "look at the present value and make the change from it"});
    });
}

void ConfigurationService::erase(const std::string &key, ChangeCondition condition, Handler handler)
{
    const StoreEntry *present = m_entries.find(key);
    if (present == nullptr && !condition.expected) {
        handler(Error {ErrorKind::NotFound, "there is no such entry", "list the entries"});
        return;
    }
    const StoreRevision expected = condition.expected ? *condition.expected : present->revision;
    m_store.erase(key, expected, [this, key, expected, handler = std::move(handler)](const Status &status) {
        const Error *error = errorOf(status);
        if (error == nullptr) {
            m_timeline.record({.kind = "configuration.erased", .detail = key});
            handler(expected);
        } else if (error->kind == ErrorKind::Conflict) {
            conflict(key, handler);
        } else if (error->kind == ErrorKind::NotFound) {
            handler(Error {ErrorKind::NotFound, "there is no such entry", "list the entries"});
        } else {
            handler(unsettled());
        }
    });
}

}
