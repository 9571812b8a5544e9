#include "scheduling/QueueWorkEstimator.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr double FixedValue = 0.3;
constexpr double MaximumValue = 4.0;
// Share of the newest job in the moving average.
constexpr double NewestShare = 0.05;

}

double QueueWorkEstimator::addJob(const std::string &queue, double work)
{
    const auto [entry, added] = m_typicalWork.emplace(queue, work);
    double &typical = entry->second;
    if (!added) {
        typical += NewestShare * (work - typical);
    }
    if (typical <= 0.0) {
        return 1.0;
    }
    return std::min(MaximumValue, FixedValue + (1.0 - FixedValue) * work / typical);
}

}
