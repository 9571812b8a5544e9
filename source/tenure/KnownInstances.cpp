#include "tenure/KnownInstances.h"

namespace Wagtail
{

namespace
{

// Instances that live register again within about a second of the store's return.
constexpr Milliseconds DoubtTime {4'000};
// Covers the longest outage in which the entries of others are missing from the list.
constexpr Milliseconds MemoryTime {15'000};

}

void KnownInstances::observe(const std::vector<InstanceCard> &listed, Instant now)
{
    m_listedAt = now;
    for (const InstanceCard &card : listed) {
        m_known[card.name] = {card, now};
    }
    std::erase_if(m_known, [now](const auto &entry) { return now - entry.second.lastListed > MemoryTime; });
}

void KnownInstances::noteLeaseMissing(Instant now)
{
    m_leaseMissingAt = now;
}

std::vector<InstanceCard> KnownInstances::candidates(Instant now) const
{
    const bool doubtful = m_leaseMissingAt && now - *m_leaseMissingAt <= DoubtTime;
    std::vector<InstanceCard> cards;
    for (const auto &[name, known] : m_known) {
        if (doubtful || known.lastListed == m_listedAt) {
            cards.push_back(known.card);
        }
    }
    return cards;
}

}
