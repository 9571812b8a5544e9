#pragma once

#include "base/Clock.h"
#include "tenure/InstanceEntry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The instances that could own partitions. After this instance lost its lease, they include instances whose entries
// have disappeared lately: a store may drop all leases during an outage, and the first instances to register again
// would otherwise see no others and take over every partition, even beyond their processor time.
class KnownInstances
{
public:
    // Updates the listed instances. Must be called at least every 250 ms.
    void observe(const std::vector<InstanceEntry> &listed, Instant now);

    // Notes that this instance has no lease, so that entries of others may have disappeared for the same reason.
    void noteLeaseMissing(Instant now);

    // Returns the listed instances and, for some time after this instance had no lease, those that were listed lately.
    [[nodiscard]] std::vector<InstanceEntry> candidates(Instant now) const;

private:
    struct Known
    {
        InstanceEntry instance;
        Instant lastListed;
    };

    std::map<std::string, Known> m_known;
    Instant m_listedAt;
    std::optional<Instant> m_leaseMissingAt;
};

}
