#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

// An instance that could own a partition.
struct OwnerCandidate
{
    std::string name;
    // How many of the partition's data centres lie in the instance's region.
    int dataCentresInRegion = 0;
    // Whether the instance is in one of the partition's data centres.
    bool isInside = false;
    // Thousandths of a core that the instance may use, and how many partitions it owns already.
    std::int64_t milliCores = 0;
    int ownedPartitions = 0;

    bool operator==(const OwnerCandidate &) const = default;
};

// Returns how many candidates come before the named one in taking a vacant partition. First come instances in the
// region of most of the partition's workers, among them those with most processor time left beside the partitions that
// they own, among these the ones inside the partition's data centres.
[[nodiscard]] std::int64_t turnOf(
    const std::string &name, const std::string &partition, const std::vector<OwnerCandidate> &candidates);

}
