#include "tenure/TakeOverRank.h"

#include "base/Identifier.h"

#include <algorithm>
#include <tuple>

namespace Wagtail
{

std::int64_t takeOverRank(
    const std::string &name, const std::string &partition, const std::vector<OwnerCandidate> &candidates)
{
    std::vector<std::tuple<int, std::int64_t, bool, std::uint64_t, std::string>> ranking;
    for (const OwnerCandidate &candidate : candidates) {
        const std::int64_t milliCoresPerPartition = candidate.milliCores / (candidate.ownedPartitions + 1);
        ranking.emplace_back(-candidate.dataCentresInRegion, -milliCoresPerPartition, !candidate.isInPartition,
            stableHash(partition + candidate.name), candidate.name);
    }
    std::sort(ranking.begin(), ranking.end());
    const auto own = std::find_if(
        ranking.begin(), ranking.end(), [&name](const auto &candidate) { return std::get<4>(candidate) == name; });
    return own - ranking.begin();
}

}
