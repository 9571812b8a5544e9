#pragma once

#include "tenure/InstanceEntry.h"

#include <map>
#include <vector>

namespace Wagtail
{

// Compares how fast instances run, by the time that they take for the same computation. Only instances with an equal
// share of processor time are compared, because on some platforms the share shows in that time and on others not.
class InstanceSpeeds
{
public:
    explicit InstanceSpeeds(const std::vector<InstanceEntry> &instances);

    // Returns whether the instance takes at least SlowFactor times as long as the fastest one with its share.
    [[nodiscard]] bool isSlow(const InstanceEntry &instance) const;

    // Returns the processor time that the instance may use, in thousandths of a core of full speed. It is reduced only
    // for slow instances, so that small differences between measurements don't matter.
    [[nodiscard]] std::int64_t effectiveMilliCores(const InstanceEntry &instance) const;

    static constexpr std::int64_t SlowFactor = 2;

private:
    // The shortest time, by the share of processor time.
    std::map<std::int64_t, std::int64_t> m_fastest;
};

}
