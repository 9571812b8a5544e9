#include "tenure/InstanceSpeeds.h"

#include <algorithm>

namespace Wagtail
{

InstanceSpeeds::InstanceSpeeds(const std::vector<InstanceEntry> &instances)
{
    for (const InstanceEntry &instance : instances) {
        if (instance.probeMicroseconds > 0) {
            const auto [fastest, isFirst] = m_fastest.emplace(instance.milliCores, instance.probeMicroseconds);
            fastest->second = std::min(fastest->second, instance.probeMicroseconds);
        }
    }
}

bool InstanceSpeeds::isSlow(const InstanceEntry &instance) const
{
    const auto fastest = m_fastest.find(instance.milliCores);
    return fastest != m_fastest.end() && instance.probeMicroseconds >= fastest->second * SlowFactor;
}

std::int64_t InstanceSpeeds::effectiveMilliCores(const InstanceEntry &instance) const
{
    if (!isSlow(instance)) {
        return instance.milliCores;
    }
    return instance.milliCores * m_fastest.at(instance.milliCores) / instance.probeMicroseconds;
}

}
