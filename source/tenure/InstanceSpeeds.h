#pragma once

#include "tenure/InstanceEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace Wagtail
{

// Compares how fast instances run, by the time that they take for the same computation. On some platforms their shares
// of processor time show in it and on others not, so between instances of different shares the longer of the two
// expected times counts.
class InstanceSpeeds
{
public:
    explicit InstanceSpeeds(const std::vector<InstanceEntry> &instances);

    // Returns whether the instance takes at least SlowFactor times as long as expected by the others' times.
    [[nodiscard]] bool isSlow(const InstanceEntry &instance) const;

    // Returns the processor time that the instance may use, in thousandths of a core of full speed. It is reduced only
    // for slow instances, so that small differences between measurements don't matter.
    [[nodiscard]] std::int64_t effectiveMilliCores(const InstanceEntry &instance) const;

    static constexpr std::int64_t SlowFactor = 2;

private:
    // Returns the longest time, in microseconds, that is to be expected of an instance with the share.
    [[nodiscard]] std::optional<double> expectedTime(std::int64_t milliCores) const;

    // The shortest time, in microseconds, by the share of processor time in thousandths of a core.
    std::map<std::int64_t, std::int64_t> m_fastest;
};

}
