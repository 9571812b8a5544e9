#pragma once

#include "base/Clock.h"
#include "tenure/InstanceCard.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The instances that could own partitions, with a memory of those whose entries have gone.
// Load pattern: a store that drops all leases while it is away. The first instances to register again would otherwise
// see nobody else and take every partition, whatever they can carry.
class KnownInstances
{
public:
    // Takes the listed instances. Call it at least every 250 ms.
    void observe(const std::vector<InstanceCard> &listed, Instant now);

    // Says that this instance holds no lease itself, so that the entries of others may be gone for the same reason.
    void noteLeaseMissing(Instant now);

    // Returns the listed instances and, after this instance lost its lease, those that were listed shortly before.
    [[nodiscard]] std::vector<InstanceCard> candidates(Instant now) const;

private:
    struct Known
    {
        InstanceCard card;
        Instant lastListed;
    };

    std::map<std::string, Known> m_known;
    Instant m_listedAt;
    std::optional<Instant> m_leaseMissingAt;
};

}
