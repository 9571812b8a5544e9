// JobScheduler: backfilling tasks that start at a reduced speed where the predicted interference rules them out.
#include "scheduling/BackfillProbe.h"
#include "scheduling/JobScheduler.h"

namespace Wagtail
{

namespace
{

// A task has worked, so that it no longer counts as idle, when it has run for this long without a pause.
constexpr Milliseconds ShortestWork {1'000};

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
            WorkerState *worker = choose(*step, task, kind);
            if (worker == nullptr) {
                failed[*kind].add(*step);
                break;
            }
            place(task, *worker, nextRun(*step, task), probeSpeed(worker->processorShare(specification)));
            task.isProbe = true;
            startPlaced({&task});
            placed.push_back(&task);
            m_environment.listener.logDecision("backfill-probed", nameOf(task).text(),
                {{"worker", worker->listing.name}, {"speed_percent", task.speedPercent},
                    {"idle_ms", idleTime(task).count()}, {"overdue", *kind == ProbeKind::Overdue}});
        }
        logPlacement(*step, placed);
    }
}

}
