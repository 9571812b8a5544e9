#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"
#include "store/StoreMessages.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace Wagtail
{

// The state of the stand-in for the platform's store: keys with revisions, leases, and watches.
class StandinStore
{
public:
    using WatchHandler = std::function<void(Result<StoreEvents>)>;

    explicit StandinStore(const Clock &clock);

    [[nodiscard]] std::optional<StoreEntry> read(const std::string &key) const;
    [[nodiscard]] StoreListing list(const std::string &prefix) const;

    // Writes a key when its present revision is the expected one.
    [[nodiscard]] Result<StoreRevision> write(const StoreWrite &write);
    [[nodiscard]] Result<StoreTransactionResult> commit(const StoreTransaction &transaction);
    [[nodiscard]] Status erase(const std::string &key, std::optional<StoreRevision> expected);
    void eraseRange(const std::string &first, const std::string &end);

    [[nodiscard]] LeaseIdentifier grantLease(Milliseconds duration);
    [[nodiscard]] Status renewLease(LeaseIdentifier lease);
    void revokeLease(LeaseIdentifier lease);

    // Answers at once when there are changes after the revision, otherwise at the next change or when the wait is over.
    void watch(std::string prefix, StoreRevision after, Milliseconds wait, WatchHandler handler);

    // Ends leases and waits whose time has come. Call it often.
    void advance();

    // Ends all leases, as when the store was away for longer than they last.
    void expireLeases();

    // Drops the changes so far, so that watches that have not read them fail.
    void dropHistory();

    [[nodiscard]] StoreRevision revision() const;

    // Gives all leases the time that passed while nobody could renew them.
    void extendLeases(Milliseconds duration);

private:
    struct Lease
    {
        Milliseconds duration {};
        Instant expiry;
    };

    struct Watch
    {
        std::string prefix;
        StoreRevision after = 0;
        Instant expiry;
        WatchHandler handler;
    };

    void record(StoreEntry entry, bool erased);
    void eraseKey(const std::string &key);
    void put(StoreEntry entry);
    void notifyWatches(const std::vector<std::string> &changed);
    [[nodiscard]] StoreEvents eventsAfter(const std::string &prefix, StoreRevision after) const;

    static constexpr std::size_t HistoryLength = 20'000;

    const Clock &m_clock;
    StoreRevision m_revision = 1;
    StoreRevision m_compacted = 0;
    LeaseIdentifier m_nextLease = 1;
    std::map<std::string, StoreEntry> m_entries;
    std::map<LeaseIdentifier, Lease> m_leases;
    std::deque<StoreEvent> m_history;
    std::vector<Watch> m_watches;
};

}
