#pragma once

#include "store/StoreMessages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// A copy of the store's entries below one prefix that only ever moves to higher revisions.
// Late watch events, older listings and older snapshots of other daemons change nothing.
class VersionedEntries
{
public:
    // Called with the key of each entry that changed.
    using Listener = std::function<void(const std::string &key)>;

    explicit VersionedEntries(Listener listener);

    // Takes over a whole listing or another daemon's snapshot. Returns false when it is older than what is held.
    bool applyListing(const StoreListing &listing);

    // Applies watch events; those at or below the held revision are dropped.
    void applyEvents(const StoreEvents &events);

    // Applies the result of an own write before the watch reports it.
    void applyOwnWrite(const StoreEntry &entry);

    [[nodiscard]] StoreRevision revision() const;
    [[nodiscard]] const StoreEntry *find(const std::string &key) const;
    [[nodiscard]] std::vector<const StoreEntry *> withPrefix(const std::string &prefix) const;
    [[nodiscard]] StoreListing snapshot() const;

private:
    bool put(const StoreEntry &entry);

    Listener m_listener;
    StoreRevision m_revision = 0;
    std::map<std::string, StoreEntry> m_entries;
};

}
