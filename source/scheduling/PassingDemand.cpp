#include "scheduling/PassingDemand.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Share of a new sample in an average: with a sample each 100 ms it follows the load within some seconds.
constexpr double AveragingShare = 0.02;
// The share of the workers that passing work is taken to need before any was seen. It falls to nothing while the
// observation goes on.
constexpr double UnobservedShare = 0.12;
constexpr Milliseconds ObservationTime {60'000};
// Before any task was seen: room that holds half of the largest worker serves most sizes.
constexpr std::int64_t UnobservedDivisor = 2;
// Less than this on average, in thousandths of a core, says nothing about the size of a task.
constexpr double LeastAverage = 1.0;

}

void PassingSample::add(std::int64_t tasks, std::int64_t milliCoresOfEach)
{
    milliCores += tasks * milliCoresOfEach;
    squares
        += static_cast<double>(tasks) * static_cast<double>(milliCoresOfEach) * static_cast<double>(milliCoresOfEach);
}

PassingDemand::PassingDemand(Instant beganAt) : m_beganAt(beganAt)
{
}

void PassingDemand::observe(const PassingSample &sample)
{
    m_milliCores += (static_cast<double>(sample.milliCores) - m_milliCores) * AveragingShare;
    m_squares += (sample.squares - m_squares) * AveragingShare;
}

std::int64_t PassingDemand::expected(Instant now, std::int64_t capacity) const
{
    const auto observed = std::chrono::duration_cast<Milliseconds>(now - m_beganAt);
    const double unobserved
        = 1.0 - static_cast<double>(observed.count()) / static_cast<double>(ObservationTime.count());
    const double assumed = UnobservedShare * static_cast<double>(capacity) * std::clamp(unobserved, 0.0, 1.0);
    return static_cast<std::int64_t>(std::max(m_milliCores, assumed));
}

std::int64_t PassingDemand::typicalTask(std::int64_t largestWorker) const
{
    if (m_milliCores < LeastAverage) {
        return std::max<std::int64_t>(1, largestWorker / UnobservedDivisor);
    }
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(m_squares / m_milliCores));
}

}
