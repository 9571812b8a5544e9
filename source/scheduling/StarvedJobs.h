#pragma once

#include "scheduling/JobState.h"
#include "scheduling/RecoveryHolds.h"

#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// Returns whether a job has nothing running: each task is done or waits.
[[nodiscard]] bool hasNothingRunning(const JobState &job);

// Returns whether no task of a job works: all that are on workers are paused.
[[nodiscard]] bool hasNothingAtWork(const JobState &job);

// Returns, for each job that has nothing running, one backfilling task of each of its waiting steps whose tasks have
// been idle for too long, the longest idle first. The job needs only one of them to run. The steps are those that found
// no worker in this round of placement. Load pattern: a backlog of jobs, whose largest tasks find no headroom beside
// those of the others.
[[nodiscard]] std::vector<TaskState *> starvedTasks(const std::vector<StepState *> &waiting, const RecoveryHolds &holds,
    const std::set<std::string> &poolsShortOfCapacity, Instant now);

}
