#include "tenure/OwnerTurn.h"

#include "base/Identifier.h"

#include <algorithm>
#include <tuple>

namespace Wagtail
{

std::int64_t turnOf(
    const std::string &name, const std::string &partition, const std::vector<OwnerCandidate> &candidates)
{
    std::vector<std::tuple<int, std::int64_t, bool, std::uint64_t, std::string>> order;
    for (const OwnerCandidate &candidate : candidates) {
        const std::int64_t strength = candidate.milliCores / (candidate.ownedPartitions + 1);
        order.emplace_back(-candidate.dataCentresInRegion, -strength, !candidate.isInside,
            stableHash(partition + candidate.name), candidate.name);
    }
    std::sort(order.begin(), order.end());
    const auto own = std::find_if(
        order.begin(), order.end(), [&name](const auto &candidate) { return std::get<4>(candidate) == name; });
    return own - order.begin();
}

}
