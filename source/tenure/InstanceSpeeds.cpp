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

std::optional<double> InstanceSpeeds::expectedTime(std::int64_t milliCores) const
{
    std::optional<double> expected;
    for (const auto &[otherMilliCores, probeMicroseconds] : m_fastest) {
        const double shareRatio = static_cast<double>(otherMilliCores) / static_cast<double>(milliCores);
        const double time = static_cast<double>(probeMicroseconds) * std::max(1.0, shareRatio);
        expected = std::min(expected.value_or(time), time);
    }
    return expected;
}

bool InstanceSpeeds::isSlow(const InstanceEntry &instance) const
{
    if (instance.milliCores <= 0 || instance.probeMicroseconds <= 0) {
        return false;
    }
    const std::optional<double> expected = expectedTime(instance.milliCores);
    return expected && static_cast<double>(instance.probeMicroseconds) >= *expected * SlowFactor;
}

std::int64_t InstanceSpeeds::effectiveMilliCores(const InstanceEntry &instance) const
{
    if (!isSlow(instance)) {
        return instance.milliCores;
    }
    const double speed = *expectedTime(instance.milliCores) / static_cast<double>(instance.probeMicroseconds);
    return static_cast<std::int64_t>(static_cast<double>(instance.milliCores) * speed);
}

}
