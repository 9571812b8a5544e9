#include "tenure/HandOverChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Answers to orders are given up after 400 ms, and leases are renewed every second or two.
constexpr Milliseconds LateLoopDelay {150};
constexpr Milliseconds ShortestTerm {5'000};
// A successor has at least this many times the processor time per partition.
constexpr std::int64_t GainFactor = 2;

const OwnerCandidate *find(const std::vector<OwnerCandidate> &candidates, const std::string &name)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(),
        [&name](const OwnerCandidate &candidate) { return candidate.name == name; });
    return found == candidates.end() ? nullptr : &*found;
}

// Returns the instance that would take the partition if this one released it, or nothing if it would not gain enough.
std::optional<std::string> successorFor(const std::string &self, const OwnedPartition &partition)
{
    const OwnerCandidate *own = find(partition.candidates, self);
    if (own == nullptr || own->ownedPartitions == 0) {
        return std::nullopt;
    }
    std::vector<OwnerCandidate> afterRelease = partition.candidates;
    for (OwnerCandidate &candidate : afterRelease) {
        candidate.ownedPartitions -= candidate.name == self ? 1 : 0;
    }
    const std::string first = takeOverOrder(partition.name, afterRelease).front();
    const OwnerCandidate *successor = find(afterRelease, first);
    const std::int64_t ownShare = own->milliCores / own->ownedPartitions;
    const std::int64_t share = successor->milliCores / (successor->ownedPartitions + 1);
    return first != self && share >= ownShare * GainFactor ? std::optional(first) : std::nullopt;
}

}

bool isLate(const InstanceLoad &load)
{
    return load.meanLoopDelay >= LateLoopDelay;
}

std::optional<HandOverDecision> chooseHandOver(
    const std::string &self, const InstanceLoad &load, const std::vector<OwnedPartition> &owned, Instant now)
{
    if (!isLate(load)) {
        return std::nullopt;
    }
    for (const OwnedPartition &partition : owned) {
        if (now - partition.termStartedAt < ShortestTerm) {
            continue;
        }
        if (std::optional<std::string> successor = successorFor(self, partition)) {
            return HandOverDecision {partition.name, std::move(*successor)};
        }
    }
    return std::nullopt;
}

}
