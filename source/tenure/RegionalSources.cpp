#include "tenure/RegionalSources.h"

#include "base/Identifier.h"
#include "tenure/InstanceSpeeds.h"

#include <algorithm>
#include <tuple>

namespace Wagtail
{

namespace
{

// Instances of a region that read from the store. The second one takes over while the first one is away.
constexpr std::size_t SourcesPerRegion = 2;

}

std::vector<std::string> regionalSources(const InstanceEntry &self, const std::vector<InstanceEntry> &others)
{
    std::vector<InstanceEntry> ranking {self};
    for (const InstanceEntry &instance : others) {
        if (instance.region == self.region && instance.name != self.name) {
            ranking.push_back(instance);
        }
    }
    const InstanceSpeeds speeds(ranking);
    const auto rankOf = [&speeds](const InstanceEntry &instance) {
        return std::tuple(speeds.isSlow(instance), -instance.milliCores, stableHash(instance.name), instance.name);
    };
    std::sort(ranking.begin(), ranking.end(),
        [&rankOf](const InstanceEntry &left, const InstanceEntry &right) { return rankOf(left) < rankOf(right); });
    ranking.resize(std::min(ranking.size(), SourcesPerRegion));
    std::vector<std::string> sources;
    for (const InstanceEntry &instance : ranking) {
        if (instance.name == self.name) {
            return {};
        }
        sources.push_back(instance.address);
    }
    // The other instances are spread over the sources.
    if (!sources.empty()) {
        const std::size_t first = stableHash(self.name) % sources.size();
        std::rotate(sources.begin(), sources.begin() + static_cast<std::ptrdiff_t>(first), sources.end());
    }
    return sources;
}

}
