#pragma once

#include "scheduling/CrashHistory.h"
#include "scheduling/TaskName.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

struct JobState;
struct TaskState;

// A task that one partition delegates to another one.
struct DelegatedTask
{
    TaskName task;
    // Number of its last run in the delegating partition.
    std::uint64_t lastRun = 0;
    // The crashes that the delegating partition has counted. Its open runs are missing, because only the partition of a
    // worker may ask it.
    CrashHistory crashes = {};

    bool operator==(const DelegatedTask &) const = default;
};

// Returns the tasks of a job that are delegated to the partition, with what is known of their crashes.
[[nodiscard]] std::vector<DelegatedTask> tasksDelegatedTo(const JobState &job, const std::string &partition);

// Marks all tasks of a job that another partition owns as run elsewhere. acceptDelegated() then takes some of them.
void markAllDelegated(JobState &job);

// Makes the named tasks of a job that another partition owns wait for workers of this one. Tasks that were delegated to
// this partition before only get the crashes that are new. Returns the tasks that have changed.
std::vector<TaskState *> acceptDelegated(JobState &job, const std::vector<DelegatedTask> &tasks);

// Returns the tasks under which enough workers have crashed to give them up, of a job that another partition owns.
[[nodiscard]] std::vector<DelegatedTask> givenUpTasks(const JobState &job);

}
