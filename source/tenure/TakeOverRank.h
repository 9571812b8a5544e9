#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

// An instance that could take over a partition.
struct OwnerCandidate
{
    std::string name;
    // The number of the partition's data centres in the instance's region.
    int dataCentresInRegion = 0;
    // Whether the instance is in one of the partition's data centres.
    bool isInPartition = false;
    // Processor time that the instance may use, in thousandths of a core, and the number of partitions that it owns.
    std::int64_t milliCores = 0;
    int ownedPartitions = 0;
    // Whether it runs clearly slower than its share of processor time lets expect. See InstanceSpeeds.
    bool isSlow = false;

    bool operator==(const OwnerCandidate &) const = default;
};

// Returns the names of the candidates in the order in which they take over a vacant partition. Slow ones come last if
// another candidate has at least twice the processor time per partition.
// Among the others the first ones have the most of the partition's data centres in their region, then the most
// processor time per partition, counting the one to be taken over, and then are in one of the partition's data centres.
[[nodiscard]] std::vector<std::string> takeOverOrder(
    const std::string &partition, const std::vector<OwnerCandidate> &candidates);

// Returns how many candidates precede the named one in that order.
[[nodiscard]] std::int64_t takeOverRank(
    const std::string &name, const std::string &partition, const std::vector<OwnerCandidate> &candidates);

}
