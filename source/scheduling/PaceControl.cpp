#include "scheduling/PaceControl.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Readings are averages of half a second and lag, so the cut comes before the target is reached.
constexpr double CutRatio = 0.8;
constexpr double StopRatio = 1.0;
constexpr double RestoreRatio = 0.5;
constexpr int RestoreStep = 20;
constexpr int LeastUsefulPercent = 10;
constexpr int FullSpeed = 100;

}

int nextBackfillPercent(const TailReading &reading)
{
    if (reading.ratio >= StopRatio) {
        return 0;
    }
    if (reading.ratio >= CutRatio) {
        const int half = reading.percent / 2;
        return half < LeastUsefulPercent ? 0 : half;
    }
    if (reading.ratio < RestoreRatio) {
        return std::min(FullSpeed, reading.percent + RestoreStep);
    }
    return reading.percent;
}

}
