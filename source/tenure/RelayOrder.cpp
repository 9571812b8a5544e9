#include "tenure/RelayOrder.h"

#include "tenure/InstanceSpeeds.h"

#include <algorithm>
#include <utility>

namespace Wagtail
{

std::vector<std::string> relayOrder(const std::string &region, std::vector<InstanceEntry> instances)
{
    const InstanceSpeeds speeds(instances);
    const auto rankOf = [&speeds, &region](const InstanceEntry &instance) {
        return std::pair(speeds.isSlow(instance), instance.region != region);
    };
    std::stable_sort(instances.begin(), instances.end(),
        [&rankOf](const InstanceEntry &left, const InstanceEntry &right) { return rankOf(left) < rankOf(right); });
    std::vector<std::string> addresses;
    addresses.reserve(instances.size());
    for (InstanceEntry &instance : instances) {
        addresses.push_back(std::move(instance.address));
    }
    return addresses;
}

}
