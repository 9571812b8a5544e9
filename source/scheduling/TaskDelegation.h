#pragma once

#include "scheduling/CrashHistory.h"
#include "scheduling/RecoveryHolds.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

struct JobState;
struct TaskState;

// A task that one partition delegates to another one, or gives back.
struct DelegatedTask
{
    TaskName task;
    // Number of its last run in the sending partition. It tells a newer message from an older one: each of the two
    // partitions numbers runs above those of the other one.
    std::uint64_t lastRun = 0;
    // The crashes that the sending partition has counted. Its open runs are missing, because only the partition of a
    // worker may ask it.
    CrashHistory crashes = {};
    // Crashes up to this run count no more. Only sent when a task is given back.
    std::uint64_t clearedRun = 0;

    bool operator==(const DelegatedTask &) const = default;
};

// Returns the crashes of a history that count, without the open runs.
[[nodiscard]] CrashHistory countedCrashes(const CrashHistory &history);

// Returns what another partition has to know of a task that it may run next.
[[nodiscard]] DelegatedTask delegationOf(const TaskState &task);

// Returns the tasks of a job that are delegated to the partition, with what is known of their crashes.
[[nodiscard]] std::vector<DelegatedTask> tasksDelegatedTo(const JobState &job, const std::string &partition);

// Marks all tasks of a job that another partition owns as run elsewhere. acceptDelegated() then takes some of them.
void markAllDelegated(JobState &job);

// Where an owner has read which tasks are delegated to its partition.
enum class DelegationSource {
    // In the record of the job when its term began.
    Record,
    // In a message of the home partition.
    Message,
};

// Makes the named tasks of a job that another partition owns wait for workers of this one. Tasks that were delegated to
// this partition before only get the crashes that are new, and those that were given back since stay away. Returns the
// tasks that have changed.
std::vector<TaskState *> acceptDelegated(
    JobState &job, const std::vector<DelegatedTask> &tasks, DelegationSource source);

// Returns whether the crashes of a task need no answer of a worker of this partition, so that another one may run it
// next. The current run, which would be stopped before, counts for nothing.
[[nodiscard]] bool mayCrashesLeave(const TaskState &task);

// Returns whether a task may leave this partition: it certainly runs nowhere, and its crashes need no answer of a
// worker of this partition.
[[nodiscard]] bool isDelegable(const TaskState &task, const RecoveryHolds &holds);

// A step whose waiting tasks leave the partition.
struct LeavingTasks
{
    JobState &job;
    int step = 0;
    int count = 0;
    // The number before the first one that this leader term gives to a run.
    std::uint64_t lastEarlierRun = 0;
    // If not null, only these tasks leave.
    const std::set<TaskName> *only = nullptr;
};

// Delegates waiting tasks to another partition.
void delegateTasks(const LeavingTasks &leaving, const RecoveryHolds &holds, const std::string &partition);

// Gives waiting tasks, which another partition has delegated, back to it. Returns the tasks.
std::vector<DelegatedTask> returnTasks(const LeavingTasks &leaving, const RecoveryHolds &holds);

// Returns what the home partition has to know of the tasks of a job that were given back to it.
[[nodiscard]] std::vector<DelegatedTask> returnedTasks(const JobState &job);

// What tasks that a partition gave back have changed.
struct TakenBackTasks
{
    // The tasks that wait for workers here again.
    std::vector<TaskState *> waiting;
    // The tasks whose crashes the partition has reported that had not been known here.
    std::vector<TaskState *> crashed;
};

// Makes tasks of a job that the partition has given back wait for workers again. A message may come again after the
// task was delegated anew, so only tasks that are there and whose last run there is later than this partition's change.
TakenBackTasks takeBack(JobState &job, const std::string &partition, const std::vector<DelegatedTask> &tasks);

// Returns the tasks under which enough workers have crashed to give them up, of a job that another partition owns.
[[nodiscard]] std::vector<DelegatedTask> givenUpTasks(const JobState &job);

}
