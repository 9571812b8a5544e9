#include "scheduling/TaskDelegation.h"

#include "scheduling/CrashVerdict.h"
#include "scheduling/JobState.h"

namespace Wagtail
{

namespace
{

CrashHistory countedCrashes(const CrashHistory &history)
{
    CrashHistory counted;
    for (const auto &[run, crash] : history.crashes()) {
        counted.addCrash(run, crash);
    }
    return counted;
}

// Adds the crashes that count and that the task doesn't have yet. Returns whether there are any.
bool addCrashes(TaskState &task, const CrashHistory &history)
{
    bool hasChanged = false;
    for (const auto &[run, crash] : history.crashes()) {
        hasChanged = (run > task.clearedRun && task.crashes.addCrash(run, crash)) || hasChanged;
    }
    return hasChanged;
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

}

std::vector<DelegatedTask> tasksDelegatedTo(const JobState &job, const std::string &partition)
{
    std::vector<DelegatedTask> tasks;
    forEachTask(job, [&](const TaskState &task) {
        if (task.delegatedTo == partition) {
            tasks.push_back({nameOf(task), task.run, countedCrashes(task.crashes)});
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

std::vector<TaskState *> acceptDelegated(JobState &job, const std::vector<DelegatedTask> &tasks)
{
    std::vector<TaskState *> changed;
    for (const DelegatedTask &delegated : tasks) {
        TaskState *task = job.find(delegated.task);
        if (task == nullptr) {
            continue;
        }
        const bool isNew = task->phase == RunPhase::Delegated;
        if (isNew) {
            task->phase = RunPhase::Waiting;
            task->delegatorLastRun = delegated.lastRun;
            // The last run may have crashed its worker without the other partition knowing it yet.
            task->endUnknown = delegated.lastRun > 0;
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

}
