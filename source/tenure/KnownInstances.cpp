#include "tenure/KnownInstances.h"

namespace Wagtail
{

namespace
{

// Running instances register again within about a second after the store recovers.
constexpr Milliseconds ReregistrationTime {4'000};
// Covers the longest store outage during which entries of running instances may be missing.
constexpr Milliseconds RetentionTime {15'000};

}

void KnownInstances::observe(const std::vector<InstanceEntry> &listed, Instant now)
{
    m_listedAt = now;
    for (const InstanceEntry &instance : listed) {
        m_known[instance.name] = {instance, now};
    }
    std::erase_if(m_known, [now](const auto &entry) { return now - entry.second.lastListed > RetentionTime; });
}

void KnownInstances::noteLeaseMissing(Instant now)
{
    m_leaseMissingAt = now;
}

std::vector<InstanceEntry> KnownInstances::candidates(Instant now) const
{
    const bool includeUnlisted = m_leaseMissingAt && now - *m_leaseMissingAt <= ReregistrationTime;
    std::vector<InstanceEntry> instances;
    for (const auto &[name, known] : m_known) {
        if (includeUnlisted || known.lastListed == m_listedAt) {
            instances.push_back(known.instance);
        }
    }
    return instances;
}

}
