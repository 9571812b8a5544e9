#include "configuration/VersionedEntries.h"

#include <algorithm>
#include <set>

namespace Wagtail
{

VersionedEntries::VersionedEntries(Listener listener) : m_listener(std::move(listener))
{
}

bool VersionedEntries::putIfNewer(const StoreEntry &entry)
{
    const auto found = m_entries.find(entry.key);
    if (found != m_entries.end() && found->second.revision >= entry.revision) {
        return false;
    }
    m_entries[entry.key] = entry;
    return true;
}

bool VersionedEntries::applyListing(const StoreListing &listing)
{
    if (listing.revision < m_revision) {
        return false;
    }
    std::set<std::string> changed;
    std::set<std::string> listed;
    for (const StoreEntry &entry : listing.entries) {
        listed.insert(entry.key);
        if (putIfNewer(entry)) {
            changed.insert(entry.key);
        }
    }
    std::erase_if(m_entries, [&](const auto &item) {
        // A write of this instance may be newer than the listing.
        const bool gone = !listed.contains(item.first) && item.second.revision <= listing.revision;
        if (gone) {
            changed.insert(item.first);
        }
        return gone;
    });
    m_revision = listing.revision;
    for (const std::string &key : changed) {
        m_listener(key);
    }
    return true;
}

void VersionedEntries::applyEvents(const StoreEvents &events)
{
    std::set<std::string> changed;
    // A transaction or the end of a lease changes several keys at one revision, so all events are compared with the
    // revision from before the call.
    const StoreRevision known = m_revision;
    for (const StoreEvent &event : events.events) {
        if (event.entry.revision <= known) {
            continue;
        }
        m_revision = std::max(m_revision, event.entry.revision);
        if (!event.erased) {
            if (putIfNewer(event.entry)) {
                changed.insert(event.entry.key);
            }
            continue;
        }
        const auto found = m_entries.find(event.entry.key);
        if (found != m_entries.end() && found->second.revision < event.entry.revision) {
            m_entries.erase(found);
            changed.insert(event.entry.key);
        }
    }
    m_revision = std::max(m_revision, events.revision);
    for (const std::string &key : changed) {
        m_listener(key);
    }
}

void VersionedEntries::applyOwnWrite(const StoreEntry &entry)
{
    if (entry.revision > m_revision && putIfNewer(entry)) {
        m_listener(entry.key);
    }
}

StoreRevision VersionedEntries::revision() const
{
    return m_revision;
}

const StoreEntry *VersionedEntries::find(const std::string &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<const StoreEntry *> VersionedEntries::withPrefix(const std::string &prefix) const
{
    std::vector<const StoreEntry *> entries;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        entries.push_back(&entry->second);
    }
    return entries;
}

StoreListing VersionedEntries::snapshot() const
{
    StoreListing listing;
    listing.revision = m_revision;
    for (const auto &[key, entry] : m_entries) {
        // Entries above the copy's revision are this instance's own writes. Other changes before them may still be
        // missing.
        if (entry.revision <= m_revision) {
            listing.entries.push_back(entry);
        }
    }
    return listing;
}

}
