// JobScheduler: backfilling tasks that start at a reduced speed where the predicted interference rules them out.
#include "scheduling/BackfillProbe.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/StarvedJobs.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A task has worked, so that it no longer counts as idle, when it has run for this long without a pause.
constexpr Milliseconds ShortestWork {1'000};
// A paused probe works again in a trial after this long at the earliest.
constexpr Milliseconds ShortestRest {2'000};

}

Milliseconds JobScheduler::idleTime(const TaskState &task) const
{
    const Instant now = m_environment.clock.now();
    return std::chrono::duration_cast<Milliseconds>(now - task.idleSince.value_or(now));
}

void JobScheduler::noteWork(TaskState &task) const
{
    if (task.speedPercent > 0 && task.runStartedAt && m_environment.clock.now() - *task.runStartedAt >= ShortestWork) {
        task.idleSince.reset();
    }
    if (task.speedPercent == FullSpeedPercent) {
        task.isProbe = false;
    }
}

void JobScheduler::beginTrialIfNeeded(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    if (!worker.trial.isOpen(now) && !hasHeadroomForProbe(m_interference, worker.serving, worker.backfilling)) {
        worker.trial.begin(now);
    }
}

bool JobScheduler::isNextOnTrial(const WorkerState &worker, const TaskState &task) const
{
    const bool isLongestPaused = std::all_of(worker.tasks.begin(), worker.tasks.end(),
        [&task](const TaskState *other) { return !other->pausedSince || *other->pausedSince >= *task.pausedSince; });
    const Instant now = m_environment.clock.now();
    const auto pausedFor = std::chrono::duration_cast<Milliseconds>(now - *task.pausedSince);
    const bool hasRested = task.isProbe ? pausedFor >= ShortestRest : probeKindAfter(pausedFor) == ProbeKind::Overdue;
    return isLongestPaused && hasRested && hasNothingAtWork(*task.step->occurrence->job) && worker.trial.mayBegin(now)
        && mayTryProbe(m_interference, worker, now);
}

int JobScheduler::speedAfterPause(WorkerState &worker, TaskState &task, int speedPercent)
{
    if (speedPercent > 0 || !task.pausedSince) {
        return speedPercent;
    }
    const Instant now = m_environment.clock.now();
    const int slow = probeSpeed(worker.processorShare(task.step->specification()));
    const auto pausedFor = std::chrono::duration_cast<Milliseconds>(now - *task.pausedSince);
    if (probeKindAfter(pausedFor) == ProbeKind::Overdue
        && hasHeadroomForProbe(m_interference, worker.serving, worker.backfilling)) {
        return slow;
    }
    if (!isNextOnTrial(worker, task)) {
        return speedPercent;
    }
    worker.trial.begin(now);
    task.isProbe = true;
    return slow;
}

bool JobScheduler::startProbe(TaskState &task, ProbeKind kind)
{
    StepState &step = *task.step;
    WorkerState *worker = choose(step, task, kind);
    if (worker == nullptr) {
        return false;
    }
    if (kind == ProbeKind::Starved) {
        beginTrialIfNeeded(*worker);
    }
    place(task, *worker, nextRun(step, task), probeSpeed(worker->processorShare(step.specification())));
    task.isProbe = true;
    startPlaced({&task});
    logProbe(task, kind);
    return true;
}

void JobScheduler::logProbe(const TaskState &task, ProbeKind kind)
{
    m_environment.listener.logDecision("backfill-probed", nameOf(task).text(),
        {{"worker", task.worker}, {"speed_percent", task.speedPercent}, {"idle_ms", idleTime(task).count()},
            {"kind", nameOf(kind)}});
}

bool JobScheduler::startStarved(TaskState &task)
{
    StepState &step = *task.step;
    if (!step.specification().gang) {
        const bool started = startProbe(task, ProbeKind::Starved);
        logPlacement(step, started ? std::vector<const TaskState *> {&task} : std::vector<const TaskState *> {});
        return started;
    }
    if (!placeGang(step, ProbeKind::Starved)) {
        return false;
    }
    logProbe(task, ProbeKind::Starved);
    return true;
}

void JobScheduler::placeStarvedJobs(const std::vector<StepState *> &waiting, const RecoveryHolds &holds)
{
    const Instant now = m_environment.clock.now();
    FailedPlacements failed;
    for (TaskState *task : starvedTasks(waiting, holds, poolsShortOfCapacity(m_workers, now), now)) {
        const StepState &step = *task->step;
        const bool isServed = !hasNothingRunning(*step.occurrence->job);
        const bool isCovered = !step.specification().gang && failed.covers(step);
        if (isServed || isCovered || !mayPlace(*task) || startStarved(*task)) {
            continue;
        }
        // Other tasks may still find a worker where a suspect must be kept apart.
        if (!step.specification().gang && !task->crashes.isSuspect()) {
            failed.add(step);
        }
    }
}

void JobScheduler::placeProbes(const std::vector<StepState *> &waiting, const RecoveryHolds &holds)
{
    const Instant now = m_environment.clock.now();
    std::optional<std::set<std::string>> poolsWithRoom;
    std::map<ProbeKind, FailedPlacements> failed;
    for (StepState *step : waiting) {
        const StepSpecification &specification = step->specification();
        if (!specification.backfills || specification.gang || readyCount(*step, holds) == 0) {
            continue;
        }
        std::vector<const TaskState *> placed;
        for (TaskState &task : step->tasks) {
            const std::optional<ProbeKind> kind = probeKindAfter(idleTime(task));
            if (!kind || !mayPlace(task) || holds.isHeldBack(task)) {
                continue;
            }
            if (!poolsWithRoom) {
                poolsWithRoom = poolsWithRoomForProbes(m_workers, now);
            }
            if (!poolsWithRoom->contains(step->occurrence->job->policy.pool) || failed[*kind].covers(*step)) {
                break;
            }
            const bool isStarted = startProbe(task, *kind);
            if (!isStarted && task.crashes.isSuspect()) {
                continue;
            }
            if (!isStarted) {
                failed[*kind].add(*step);
                break;
            }
            placed.push_back(&task);
        }
        logPlacement(*step, placed);
    }
}

}
