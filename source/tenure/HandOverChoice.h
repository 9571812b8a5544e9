#pragma once

#include "base/Clock.h"
#include "responsiveness/InstanceLoadMonitor.h"
#include "tenure/TakeOverRank.h"

#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// A partition that an instance owns, and the instances that could own it instead, with itself.
struct OwnedPartition
{
    std::string name;
    Instant termStartedAt;
    std::vector<OwnerCandidate> candidates;
};

// A partition to hand over, and the instance that is expected to take it.
struct HandOverDecision
{
    std::string partition;
    std::string successor;

    bool operator==(const HandOverDecision &) const = default;
};

// Returns whether the event loop of the instance is too late for the duties of an owner.
[[nodiscard]] bool isLate(const InstanceLoad &load);

// Chooses the partition that an owner should hand over because its event loop is late, if there is an instance with
// clearly more processor time for it. Being late alone is no reason: where all instances are equally loaded, a
// hand-over only costs time. Each term lasts long enough for the successor to load the partition, so that hand-overs
// can't follow each other closely. Load pattern: an instance that runs slowly while it owns a partition, beside idle
// instances at full speed.
[[nodiscard]] std::optional<HandOverDecision> chooseHandOver(
    const std::string &self, const InstanceLoad &load, const std::vector<OwnedPartition> &owned, Instant now);

}
