#include "scheduling/BatchDemandEstimator.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Weight of a new sample in the moving average. With a sample every 100 ms it follows the load within a few seconds.
constexpr double SampleWeight = 0.02;
// The share of the capacity that batch tasks are assumed to need before any was observed. It decreases linearly to
// zero over the observation time.
constexpr double InitialDemandShare = 0.12;
constexpr Milliseconds ObservationTime {60'000};
// Before any task was observed, the typical task is assumed to take half of the largest worker, which suits most sizes.
constexpr std::int64_t InitialTaskDivisor = 2;
// A lower average demand, in thousandths of a core, does not tell the size of a task.
constexpr double MinimumAverageMilliCores = 1.0;

}

void BatchDemandSample::add(std::int64_t tasks, std::int64_t milliCoresOfEach)
{
    milliCores += tasks * milliCoresOfEach;
    sumOfSquares
        += static_cast<double>(tasks) * static_cast<double>(milliCoresOfEach) * static_cast<double>(milliCoresOfEach);
}

BatchDemandEstimator::BatchDemandEstimator(Instant startedAt) : m_startedAt(startedAt)
{
}

void BatchDemandEstimator::observe(const BatchDemandSample &sample)
{
    m_milliCores += (static_cast<double>(sample.milliCores) - m_milliCores) * SampleWeight;
    m_sumOfSquares += (sample.sumOfSquares - m_sumOfSquares) * SampleWeight;
}

std::int64_t BatchDemandEstimator::expectedMilliCores(Instant now, std::int64_t capacity) const
{
    const auto observed = std::chrono::duration_cast<Milliseconds>(now - m_startedAt);
    const double unobservedShare
        = 1.0 - static_cast<double>(observed.count()) / static_cast<double>(ObservationTime.count());
    const double assumed = InitialDemandShare * static_cast<double>(capacity) * std::clamp(unobservedShare, 0.0, 1.0);
    return static_cast<std::int64_t>(std::max(m_milliCores, assumed));
}

std::int64_t BatchDemandEstimator::typicalTaskMilliCores(std::int64_t largestWorker) const
{
    if (m_milliCores < MinimumAverageMilliCores) {
        return std::max<std::int64_t>(1, largestWorker / InitialTaskDivisor);
    }
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(m_sumOfSquares / m_milliCores));
}

}
