#pragma once

#include "store/StoreMessages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// A copy of the store's entries below one prefix that never goes back to a lower revision. Late watch events, older
// listings and older snapshots from other daemons are ignored.
class VersionedEntries
{
public:
    // Called with the key of each entry that changed.
    using Listener = std::function<void(const std::string &key)>;

    explicit VersionedEntries(Listener listener);

    // Applies a complete listing or another daemon's snapshot. Returns false if it is older than the copy.
    bool applyListing(const StoreListing &listing);

    // Applies watch events. Events up to the copy's revision are ignored.
    void applyEvents(const StoreEvents &events);

    // Applies a write of this instance before the watch reports it. The copy's revision stays as it is.
    void applyOwnWrite(const StoreEntry &entry);

    [[nodiscard]] StoreRevision revision() const;
    [[nodiscard]] const StoreEntry *find(const std::string &key) const;
    [[nodiscard]] std::vector<const StoreEntry *> withPrefix(const std::string &prefix) const;
    [[nodiscard]] StoreListing snapshot() const;

private:
    bool putIfNewer(const StoreEntry &entry);

    Listener m_listener;
    StoreRevision m_revision = 0;
    std::map<std::string, StoreEntry> m_entries;
};

}
