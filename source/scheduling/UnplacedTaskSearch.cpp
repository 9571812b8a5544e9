#include "scheduling/UnplacedTaskSearch.h"

#include "scheduling/PlacementSurvey.h"
#include "scheduling/TaskDelegation.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A long-running task should run again within one or two seconds of any end.

// Without batch tasks that could make room, only the end of another long-running task or a new worker does. Both are
// rare, but a worker that restarts may be away for a moment.
constexpr Milliseconds DelayWithoutRoom {300};
// Batch tasks whose end would make room are short, and a worker is reserved for the task meanwhile.
constexpr Milliseconds DelayBesideBatch {1'000};
// A new owner first hears its workers.
constexpr Milliseconds DelayWithUnknownWorkers {1'500};
// A crash that is proven soon is then known wherever the task is started next.
constexpr Milliseconds DelayOfSuspects {1'500};

}

bool hasMovableTasks(const StepState &step, DependentSteps dependents)
{
    const StepSpecification &specification = step.specification();
    const JobState &job = *step.occurrence->job;
    const bool mayLeave = specification.after.empty() || dependents == DependentSteps::MayLeave;
    return specification.longRunning && !specification.gang && mayLeave && !job.isFinished()
        && job.specification.repeatCount == 0;
}

UnplacedTaskSearch::UnplacedTaskSearch(
    const std::map<std::string, WorkerState> &workers, RecoveryHolds holds, Instant now, DependentSteps dependents)
    : m_workers(workers), m_holds(std::move(holds)), m_now(now), m_dependents(dependents)
{
    m_knowsWorkers = std::none_of(m_workers.begin(), m_workers.end(), [](const auto &entry) {
        const WorkerState &worker = entry.second;
        return worker.listed && !worker.listing.draining && !worker.hasAnswered && worker.consecutiveUnanswered == 0;
    });
}

std::optional<UnplacedStep> UnplacedTaskSearch::search(const StepState &step) const
{
    if (!hasMovableTasks(step, m_dependents) || step.waitingCount == 0 || !step.unplacedSince) {
        return std::nullopt;
    }
    const auto ready = static_cast<int>(std::count_if(
        step.tasks.begin(), step.tasks.end(), [this](const TaskState &task) { return isDelegable(task, m_holds); }));
    if (ready == 0 || m_now - *step.unplacedSince < delayFor(step)) {
        return std::nullopt;
    }
    if (surveyPlacement(m_workers, step, m_now).available > 0) {
        return std::nullopt;
    }
    const JobState &job = *step.occurrence->job;
    return UnplacedStep {job.specification.id, step.number, ready, job.ownedElsewhere};
}

Milliseconds UnplacedTaskSearch::delayFor(const StepState &step) const
{
    if (!m_knowsWorkers) {
        return DelayWithUnknownWorkers;
    }
    const bool hasSuspect = std::any_of(step.tasks.begin(), step.tasks.end(),
        [this](const TaskState &task) { return isDelegable(task, m_holds) && task.crashes.isSuspect(); });
    if (hasSuspect) {
        return DelayOfSuspects;
    }
    // A task that an earlier owner left without a worker has waited already.
    const bool hasWaited = std::any_of(step.tasks.begin(), step.tasks.end(),
        [this](const TaskState &task) { return mayRunUnknown(task) && isDelegable(task, m_holds); });
    if (hasWaited && !step.occurrence->job->ownedElsewhere) {
        return Milliseconds(0);
    }
    return surveyPlacement(m_workers, step, m_now).busy > 0 ? DelayBesideBatch : DelayWithoutRoom;
}

}
