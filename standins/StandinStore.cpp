#include "StandinStore.h"

#include <algorithm>

namespace Wagtail
{

StandinStore::StandinStore(const Clock &clock) : m_clock(clock)
{
}

std::optional<StoreEntry> StandinStore::read(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second);
}

StoreListing StandinStore::list(const std::string &prefix) const
{
    StoreListing listing;
    listing.revision = m_revision;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        listing.entries.push_back(entry->second);
    }
    return listing;
}

Result<StoreRevision> StandinStore::write(const StoreWrite &write)
{
    const auto found = m_entries.find(write.key);
    const StoreRevision present = found == m_entries.end() ? MustNotExist : found->second.revision;
    if (write.expected && *write.expected != present) {
        return Error {ErrorKind::Conflict, "present revision " + std::to_string(present), "read the key again"};
    }
    if (write.lease != 0 && !m_leases.contains(write.lease)) {
        return Error {ErrorKind::NotFound, "no such lease", "grant a new lease"};
    }
    ++m_revision;
    put({write.key, write.value, m_revision, write.lease});
    notifyWatches({write.key});
    return m_revision;
}

void StandinStore::put(StoreEntry entry)
{
    m_entries[entry.key] = entry;
    record(std::move(entry), false);
}

Result<StoreTransactionResult> StandinStore::commit(const StoreTransaction &transaction)
{
    StoreTransactionResult result;
    bool holds = true;
    for (const StoreCondition &condition : transaction.conditions) {
        const std::optional<StoreEntry> entry = read(condition.key);
        holds = holds && condition.revision == (entry ? entry->revision : MustNotExist);
        if (entry) {
            result.currentEntries.push_back(*entry);
        }
    }
    if (!holds) {
        return result;
    }
    for (const StoreWrite &write : transaction.writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease)) {
            return Error {ErrorKind::NotFound, "no such lease", "grant a new lease"};
        }
    }
    result.committed = true;
    result.currentEntries.clear();
    result.revision = ++m_revision;
    std::vector<std::string> changed;
    for (const StoreWrite &write : transaction.writes) {
        put({write.key, write.value, m_revision, write.lease});
        changed.push_back(write.key);
    }
    for (const std::string &key : transaction.erasures) {
        if (m_entries.erase(key) > 0) {
            record({key, {}, m_revision, 0}, true);
            changed.push_back(key);
        }
    }
    // A watch returns all changes of a transaction or none, because its caller goes on after their revision.
    notifyWatches(changed);
    return result;
}

Status StandinStore::erase(const std::string &key, std::optional<StoreRevision> expected)
{
    const auto found = m_entries.find(key);
    const StoreRevision present = found == m_entries.end() ? MustNotExist : found->second.revision;
    if (expected && *expected != present) {
        return Error {ErrorKind::Conflict, "present revision " + std::to_string(present), "read the key again"};
    }
    if (found == m_entries.end()) {
        return Error {ErrorKind::NotFound, "no such key", "nothing to erase"};
    }
    eraseKey(key);
    return std::monostate();
}

void StandinStore::eraseRange(const std::string &first, const std::string &end)
{
    std::vector<std::string> keys;
    for (auto entry = m_entries.lower_bound(first); entry != m_entries.end() && entry->first < end; ++entry) {
        keys.push_back(entry->first);
    }
    for (const std::string &key : keys) {
        eraseKey(key);
    }
}

void StandinStore::eraseKey(const std::string &key)
{
    ++m_revision;
    m_entries.erase(key);
    record({key, {}, m_revision, 0}, true);
    notifyWatches({key});
}

LeaseIdentifier StandinStore::grantLease(Milliseconds duration)
{
    const LeaseIdentifier lease = m_nextLease++;
    m_leases[lease] = {duration, m_clock.now() + duration};
    return lease;
}

Status StandinStore::renewLease(LeaseIdentifier lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return Error {ErrorKind::NotFound, "no such lease", "grant a new lease"};
    }
    found->second.expiry = m_clock.now() + found->second.duration;
    return std::monostate();
}

void StandinStore::revokeLease(LeaseIdentifier lease)
{
    // Keys without a lease have the lease 0, which nobody holds.
    if (m_leases.erase(lease) == 0) {
        return;
    }
    std::vector<std::string> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        eraseKey(key);
    }
}

void StandinStore::watch(std::string prefix, StoreRevision after, Milliseconds wait, WatchHandler handler)
{
    if (after < m_compacted) {
        handler(Error {ErrorKind::NotFound, "the revision is compacted", "list again"});
        return;
    }
    StoreEvents events = eventsAfter(prefix, after);
    if (!events.events.empty()) {
        handler(std::move(events));
        return;
    }
    m_watches.push_back({std::move(prefix), after, m_clock.now() + wait, std::move(handler)});
}

void StandinStore::advance()
{
    const Instant now = m_clock.now();
    std::vector<LeaseIdentifier> lapsed;
    for (const auto &[identifier, lease] : m_leases) {
        if (lease.expiry <= now) {
            lapsed.push_back(identifier);
        }
    }
    for (const LeaseIdentifier lease : lapsed) {
        revokeLease(lease);
    }
    std::vector<Watch> over;
    const auto isOver = [now](const Watch &watch) {
        return watch.expiry <= now;
    };
    std::copy_if(m_watches.begin(), m_watches.end(), std::back_inserter(over), isOver);
    std::erase_if(m_watches, isOver);
    for (const Watch &watch : over) {
        watch.handler(StoreEvents {m_revision, {}});
    }
}

void StandinStore::extendLeases(Milliseconds duration)
{
    for (auto &[identifier, lease] : m_leases) {
        lease.expiry += duration;
    }
}

void StandinStore::expireLeases()
{
    for (auto &[identifier, lease] : m_leases) {
        lease.expiry = m_clock.now();
    }
    advance();
}

void StandinStore::dropHistory()
{
    m_history.clear();
    m_compacted = m_revision;
}

StoreRevision StandinStore::revision() const
{
    return m_revision;
}

void StandinStore::record(StoreEntry entry, bool erased)
{
    m_history.push_back({std::move(entry), erased});
    if (m_history.size() > HistoryLength) {
        m_compacted = m_history.front().entry.revision;
        m_history.pop_front();
    }
}

void StandinStore::notifyWatches(const std::vector<std::string> &changed)
{
    std::vector<Watch> concerned;
    const auto matches = [&changed](const Watch &watch) {
        return std::any_of(
            changed.begin(), changed.end(), [&watch](const std::string &key) { return key.starts_with(watch.prefix); });
    };
    std::copy_if(m_watches.begin(), m_watches.end(), std::back_inserter(concerned), matches);
    std::erase_if(m_watches, matches);
    for (const Watch &watch : concerned) {
        watch.handler(eventsAfter(watch.prefix, watch.after));
    }
}

StoreEvents StandinStore::eventsAfter(const std::string &prefix, StoreRevision after) const
{
    StoreEvents events;
    events.revision = m_revision;
    const auto isOlder = [](StoreRevision revision, const StoreEvent &event) {
        return revision < event.entry.revision;
    };
    auto event = std::upper_bound(m_history.begin(), m_history.end(), after, isOlder);
    for (; event != m_history.end(); ++event) {
        if (event->entry.key.starts_with(prefix)) {
            events.events.push_back(*event);
        }
    }
    return events;
}

}
