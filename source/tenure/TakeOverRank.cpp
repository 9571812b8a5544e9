#include "tenure/TakeOverRank.h"

#include "base/Identifier.h"

#include <algorithm>
#include <tuple>

namespace Wagtail
{

namespace
{

// Processor time per partition that makes up for being in another region than a slow instance.
constexpr std::int64_t GainFactor = 2;

}

std::vector<std::string> takeOverOrder(const std::string &partition, const std::vector<OwnerCandidate> &candidates)
{
    const auto perPartition = [](const OwnerCandidate &candidate) {
        return candidate.milliCores / (candidate.ownedPartitions + 1);
    };
    std::int64_t most = 0;
    for (const OwnerCandidate &candidate : candidates) {
        most = std::max(most, candidate.isSlow ? 0 : perPartition(candidate));
    }
    std::vector<std::tuple<bool, int, std::int64_t, bool, std::uint64_t, std::string>> ranking;
    for (const OwnerCandidate &candidate : candidates) {
        const std::int64_t milliCores = perPartition(candidate);
        const bool comesLast = candidate.isSlow && milliCores * GainFactor <= most;
        ranking.emplace_back(comesLast, -candidate.dataCentresInRegion, -milliCores, !candidate.isInPartition,
            stableHash(partition + candidate.name), candidate.name);
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
