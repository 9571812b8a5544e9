#include "tenure/TakeOverRank.h"

#include "base/Identifier.h"

#include <algorithm>
#include <tuple>

namespace Wagtail
{

std::vector<std::string> takeOverOrder(const std::string &partition, const std::vector<OwnerCandidate> &candidates)
{
    std::vector<std::tuple<bool, int, std::int64_t, bool, std::uint64_t, std::string>> ranking;
    for (const OwnerCandidate &candidate : candidates) {
        const std::int64_t milliCoresPerPartition = candidate.milliCores / (candidate.ownedPartitions + 1);
        ranking.emplace_back(candidate.isSlow, -candidate.dataCentresInRegion, -milliCoresPerPartition,
            !candidate.isInPartition, stableHash(partition + candidate.name), candidate.name);
    }
    std::sort(ranking.begin(), ranking.end());
    std::vector<std::string> names;
    names.reserve(ranking.size());
    for (auto &entry : ranking) {
        names.push_back(std::move(std::get<std::string>(entry)));
    }
    return names;
}

std::int64_t takeOverRank(
    const std::string &name, const std::string &partition, const std::vector<OwnerCandidate> &candidates)
{
    const std::vector<std::string> order = takeOverOrder(partition, candidates);
    return std::find(order.begin(), order.end(), name) - order.begin();
}

}
