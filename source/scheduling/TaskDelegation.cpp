#include "scheduling/TaskDelegation.h"

#include "scheduling/CrashClearance.h"
#include "scheduling/CrashVerdict.h"
#include "scheduling/JobState.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Adds the crashes that count and that the task doesn't have yet. Returns whether there are any.
bool addCrashes(TaskState &task, const CrashHistory &history)
{
    bool hasChanged = false;
    for (const auto &[run, crash] : history.crashes()) {
        hasChanged = (run > task.clearedRun && task.crashes.addCrash(run, crash)) || hasChanged;
    }
    return hasChanged;
}

// Returns whether the task has run for so long on each worker that it has probably not crashed any.
bool hasLivedLong(const TaskState &task)
{
    // A run counts until the leases of its worker have expired.
    constexpr Milliseconds LongestLease {6'000};
    const Milliseconds likelyCrashes = (CrashHistory::LikelyLimit + LongestLease) * task.placements;
    return task.placements > 0 && task.times.spent(TaskActivity::Running) > likelyCrashes;
}

template<typename Visitor> void forEachTask(const JobState &job, Visitor visitor)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const StepState &step : occurrence.steps) {
            for (const TaskState &task : step.tasks) {
                visitor(task);
            }
        }
    }
}

// Takes up to the given number of waiting tasks out of the step and calls the visitor with each.
template<typename Visitor> void takeWaiting(const LeavingTasks &leaving, const RecoveryHolds &holds, Visitor visitor)
{
    int count = leaving.count;
    for (auto &[number, occurrence] : leaving.job.occurrences) {
        StepState &step = occurrence.steps[static_cast<std::size_t>(leaving.step)];
        for (TaskState &task : step.tasks) {
            const bool isNamed = leaving.only == nullptr || leaving.only->contains(nameOf(task));
            if (count <= 0 || !isNamed || !isDelegable(task, holds)) {
                continue;
            }
            --count;
            --step.waitingCount;
            task.phase = RunPhase::Delegated;
            task.nextPartition.clear();
            // Runs of earlier terms are not known to this one, and the other partition must use none of their numbers,
            // because crashes are kept by run.
            task.run = std::max(task.run, leaving.lastEarlierRun + task.lastRunElsewhere);
            visitor(task);
        }
        if (step.waitingCount == 0) {
            step.unplacedSince.reset();
        }
    }
}

}

CrashHistory countedCrashes(const CrashHistory &history)
{
    CrashHistory counted;
    for (const auto &[run, crash] : history.crashes()) {
        counted.addCrash(run, crash);
    }
    return counted;
}

DelegatedTask delegationOf(const TaskState &task)
{
    return {nameOf(task), task.run, countedCrashes(task.crashes)};
}

std::vector<DelegatedTask> tasksDelegatedTo(const JobState &job, const std::string &partition)
{
    std::vector<DelegatedTask> tasks;
    forEachTask(job, [&](const TaskState &task) {
        if (task.delegatedTo == partition) {
            tasks.push_back(delegationOf(task));
        }
    });
    return tasks;
}

void markAllDelegated(JobState &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &task : step.tasks) {
                task.phase = RunPhase::Delegated;
            }
            step.waitingCount = 0;
        }
    }
}

std::vector<TaskState *> acceptDelegated(
    JobState &job, const std::vector<DelegatedTask> &tasks, DelegationSource source)
{
    std::vector<TaskState *> changed;
    for (const DelegatedTask &delegated : tasks) {
        TaskState *task = job.find(delegated.task);
        if (task == nullptr) {
            continue;
        }
        const bool isNew = task->phase == RunPhase::Delegated;
        if (isNew && delegated.lastRun < task->returnedRun) {
            continue;
        }
        if (isNew) {
            task->phase = RunPhase::Waiting;
            task->run = std::max(task->run, delegated.lastRun);
            task->lastRunElsewhere = delegated.lastRun;
            task->returnedRun = 0;
            // The last run may have crashed its worker without the other partition knowing it yet.
            task->endUnknown = delegated.lastRun > 0;
            // Such a start waits until the store has it, so an earlier owner that made it left the task in the record.
            task->isPlaceKnown = source == DelegationSource::Message && delegated.lastRun > 0;
            ++task->step->waitingCount;
        }
        if (addCrashes(*task, delegated.crashes) || isNew) {
            changed.push_back(task);
        }
    }
    return changed;
}

std::vector<DelegatedTask> givenUpTasks(const JobState &job)
{
    std::vector<DelegatedTask> tasks;
    forEachTask(job, [&tasks](const TaskState &task) {
        const bool runsHere = task.phase != RunPhase::Delegated && task.phase != RunPhase::Done;
        if (runsHere && judge(task.crashes) == CrashVerdict::GiveUp) {
            tasks.push_back({nameOf(task), task.run, countedCrashes(task.crashes)});
        }
    });
    return tasks;
}

bool mayCrashesLeave(const TaskState &task)
{
    // A task whose lost runs may still decide its verdict, or may after one more crash, waits for them here, because
    // only this partition can ask their workers and the other one would judge that crash without them.
    if (judge(task.crashes) != CrashVerdict::Retry || mayLostRunsDecide(task.crashes)) {
        return false;
    }
    // The home partition starts a task that is given back without knowing of lost runs here. A task that crashes each
    // worker would go round between partitions that each know too few of its crashes.
    const auto &openRuns = task.crashes.openRuns();
    const bool hasLostRuns = std::any_of(openRuns.begin(), openRuns.end(),
        [&task](const auto &entry) { return task.phase != RunPhase::Running || entry.first != task.run; });
    return !task.step->occurrence->job->ownedElsewhere || !hasLostRuns || hasLivedLong(task);
}

bool isDelegable(const TaskState &task, const RecoveryHolds &holds)
{
    const bool mayLeave = task.phase == RunPhase::Waiting && task.nextWorker.empty();
    return mayLeave && !holds.isHeldBack(task) && mayCrashesLeave(task);
}

void delegateTasks(const LeavingTasks &leaving, const RecoveryHolds &holds, const std::string &partition)
{
    takeWaiting(leaving, holds, [&partition](TaskState &task) { task.delegatedTo = partition; });
}

std::vector<DelegatedTask> returnTasks(const LeavingTasks &leaving, const RecoveryHolds &holds)
{
    std::vector<DelegatedTask> tasks;
    takeWaiting(leaving, holds, [&tasks](TaskState &task) {
        // Higher than the number of the delegation, even if the task has never been started here.
        task.run = std::max(task.run, task.lastRunElsewhere + 1);
        task.returnedRun = task.run;
        tasks.push_back({nameOf(task), task.returnedRun, countedCrashes(task.crashes), task.clearedRun});
    });
    return tasks;
}

std::vector<DelegatedTask> returnedTasks(const JobState &job)
{
    std::vector<DelegatedTask> tasks;
    forEachTask(job, [&tasks](const TaskState &task) {
        if (task.phase == RunPhase::Delegated && task.returnedRun > 0) {
            tasks.push_back({nameOf(task), task.returnedRun, countedCrashes(task.crashes), task.clearedRun});
        }
    });
    return tasks;
}

TakenBackTasks takeBack(JobState &job, const std::string &partition, const std::vector<DelegatedTask> &tasks)
{
    TakenBackTasks taken;
    for (const DelegatedTask &returned : tasks) {
        TaskState *task = returned.task.job == job.specification.id ? job.find(returned.task) : nullptr;
        if (task == nullptr || task->phase == RunPhase::Done) {
            continue;
        }
        if (returned.clearedRun > task->clearedRun) {
            clearCrashes(*task, returned.clearedRun);
        }
        if (addCrashes(*task, returned.crashes)) {
            taken.crashed.push_back(task);
        }
        const bool isThere = task->phase == RunPhase::Delegated && task->delegatedTo == partition;
        if (!isThere || returned.lastRun <= task->run) {
            continue;
        }
        task->phase = RunPhase::Waiting;
        task->delegatedTo.clear();
        task->run = returned.lastRun;
        task->lastRunElsewhere = returned.lastRun;
        // No earlier term can have started it here since it was delegated.
        task->isPlaceKnown = true;
        // The next owner reads the message again if this one ends before the store has the change, so the task must not
        // be started earlier.
        task->mayHaveBeenRenewed = true;
        task->endUnknown = true;
        ++task->step->waitingCount;
        // It has waited long enough already if it finds no worker here either.
        if (!task->crashes.isSuspect()) {
            task->step->unplacedSince = Instant();
        }
        job.formerDelegates.insert(partition);
        taken.waiting.push_back(task);
    }
    return taken;
}

}
