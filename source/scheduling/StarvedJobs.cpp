#include "scheduling/StarvedJobs.h"

#include "scheduling/BackfillProbe.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

bool isReady(const TaskState &task, const RecoveryHolds &holds, Instant now)
{
    return task.phase == RunPhase::Waiting && task.notBefore <= now && task.idleSince && !holds.isHeldBack(task);
}

// Returns whether all members of a gang may start.
bool isGangReady(const StepState &step, const RecoveryHolds &holds, Instant now)
{
    return std::all_of(
        step.tasks.begin(), step.tasks.end(), [&](const TaskState &task) { return isReady(task, holds, now); });
}

// Returns the ready task of the step that has been idle for longest, or null.
TaskState *longestIdle(StepState &step, const RecoveryHolds &holds, Instant now)
{
    TaskState *longest = nullptr;
    for (TaskState &task : step.tasks) {
        if (isReady(task, holds, now) && (longest == nullptr || *task.idleSince < *longest->idleSince)) {
            longest = &task;
        }
    }
    return longest;
}

}

bool hasNothingRunning(const JobState &job)
{
    return std::all_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &entry) {
        const std::deque<StepState> &steps = entry.second.steps;
        return std::all_of(steps.begin(), steps.end(), [](const StepState &step) {
            return step.doneCount + step.waitingCount == static_cast<int>(step.tasks.size());
        });
    });
}

bool hasNothingAtWork(const JobState &job)
{
    return std::all_of(job.occurrences.begin(), job.occurrences.end(), [](const auto &entry) {
        const std::deque<StepState> &steps = entry.second.steps;
        return std::all_of(steps.begin(), steps.end(), [](const StepState &step) {
            return std::all_of(step.tasks.begin(), step.tasks.end(), [](const TaskState &task) {
                const bool isPaused = task.phase == RunPhase::Running && task.pausedSince;
                return isPaused || task.phase == RunPhase::Done || task.phase == RunPhase::Waiting;
            });
        });
    });
}

std::vector<TaskState *> starvedTasks(const std::vector<StepState *> &waiting, const RecoveryHolds &holds,
    const std::set<std::string> &poolsShortOfCapacity, Instant now)
{
    const bool onTimeJobsWait = std::any_of(waiting.begin(), waiting.end(),
        [now](const StepState *step) { return tierOf(*step->occurrence->job, now) == JobTier::OnTime; });
    std::vector<TaskState *> starved;
    for (StepState *step : waiting) {
        const JobState *job = step->occurrence->job;
        const StepSpecification &specification = step->specification();
        const bool isReadyToStart = !specification.gang || isGangReady(*step, holds, now);
        if (!specification.backfills || !isReadyToStart || !hasNothingRunning(*job)) {
            continue;
        }
        TaskState *task = longestIdle(*step, holds, now);
        const bool isCapacityShort = poolsShortOfCapacity.contains(job->policy.pool);
        const Milliseconds delay = starvedProbeDelay(tierOf(*job, now), onTimeJobsWait, isCapacityShort);
        if (task != nullptr && now - *task->idleSince >= delay) {
            starved.push_back(task);
        }
    }
    std::stable_sort(starved.begin(), starved.end(),
        [](const TaskState *left, const TaskState *right) { return *left->idleSince < *right->idleSince; });
    return starved;
}

}
