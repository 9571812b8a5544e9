#include "scheduling/JobDeparture.h"

#include "scheduling/TaskDelegation.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

template<typename Job, typename Visitor> void forEachTask(Job &job, Visitor visitor)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            for (auto &task : step.tasks) {
                visitor(task);
            }
        }
    }
}

}

bool mayDepart(const JobState &job, const RecoveryHolds &holds)
{
    bool isAtRest = !job.isFinished() && !job.ownedElsewhere && !job.isDeparting && job.delegates().empty();
    forEachTask(job, [&](const TaskState &task) {
        const bool mayLeave = task.phase == RunPhase::Done || isDelegable(task, holds);
        isAtRest = isAtRest && mayLeave && task.worker.empty() && task.nextPartition.empty();
    });
    return isAtRest;
}

void prepareDeparture(JobState &job, std::uint64_t lastEarlierRun)
{
    // The members of a gang share one run number, so the whole job gets one bound.
    std::uint64_t lastRun = lastEarlierRun;
    forEachTask(job, [&](const TaskState &task) {
        lastRun = std::max({lastRun, task.run, lastEarlierRun + task.lastRunElsewhere, task.step->highestRun});
    });
    forEachTask(job, [lastRun](TaskState &task) {
        if (task.phase == RunPhase::Done) {
            return;
        }
        task.run = lastRun;
        task.lastRunElsewhere = lastRun;
        // The other partition can't ask the workers of this one whether they have crashed.
        task.crashes = countedCrashes(task.crashes);
    });
}

void prepareArrival(JobState &job)
{
    forEachTask(job, [](TaskState &task) { task.isPlaceKnown = true; });
}

}
