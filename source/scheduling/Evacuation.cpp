#include "scheduling/Evacuation.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Time for a stop order and its answer before a draining worker exits.
constexpr Milliseconds DrainMargin {500};
constexpr int ReadyPercent = 100;

bool isDisruptionBudgetSpent(const StepState &step)
{
    const auto unavailable = std::count_if(step.tasks.begin(), step.tasks.end(), [](const TaskState &task) {
        // Other partitions watch the tasks that are delegated to them.
        return task.phase != RunPhase::Delegated && (task.phase != RunPhase::Running || task.percent < ReadyPercent);
    });
    return unavailable >= std::max(1, step.specification().disruptionBudget);
}

}

DrainProgress::DrainProgress(Instant knownSince, bool sawItBegin, Milliseconds drain, Instant now)
    : m_knownFor(std::chrono::duration_cast<Milliseconds>(now - knownSince))
    , m_timeLeft(std::max(Milliseconds(0), drain - m_knownFor - DrainMargin))
    , m_shortOfTime(!sawItBegin || m_timeLeft < drain / 2)
{
}

Milliseconds DrainProgress::knownFor() const
{
    return m_knownFor;
}

Milliseconds DrainProgress::timeLeft() const
{
    return m_timeLeft;
}

bool DrainProgress::isShortOfTime() const
{
    return m_shortOfTime;
}

bool isToBeEvacuated(const TaskState &task, const DrainProgress &progress)
{
    const StepSpecification &step = task.step->specification();
    if (task.phase != RunPhase::Running || step.gang) {
        return false;
    }
    const Milliseconds remaining = step.estimate * (100 - task.percent) / 100;
    const bool outlasts = step.longRunning || remaining > progress.timeLeft();
    const bool worthMoving = step.longRunning || step.checkpoints || task.percent < CheapRestartPercent;
    return outlasts && worthMoving;
}

bool mayBeEvacuatedNow(const TaskState &task, const DrainProgress &progress)
{
    return !task.step->specification().longRunning || progress.isShortOfTime() || !isDisruptionBudgetSpent(*task.step);
}

}
