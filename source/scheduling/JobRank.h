#pragma once

#include "scheduling/JobState.h"

#include <compare>

namespace Wagtail
{

// Orders the jobs that wait for workers. Lower ranks are placed first.
struct JobRank
{
    int tier = 0;
    int priority = 0;
    // Milliseconds until the job can no longer meet the deadline of its tier; in the last tier its negative age.
    std::int64_t slack = 0;

    auto operator<=>(const JobRank &) const = default;
};

// Returns the estimated duration of the critical path through the unfinished steps of the occurrence.
[[nodiscard]] Milliseconds remainingCriticalPath(const OccurrenceState &occurrence);

// Returns the estimated duration of the critical path through all steps of the job.
[[nodiscard]] Milliseconds criticalPath(const JobSpecification &job);

// Returns the latency objective of the job, counted from its acceptance. See QueuePolicy::stretch.
[[nodiscard]] Milliseconds latencyObjective(const JobState &job);

// Returns the rank of the job. Long-running jobs go first, then jobs that can still meet their latency objective, the
// one with the least slack first, then jobs that can only finish late, and last jobs that are too late to be of use.
// Load pattern: bursts above the capacity of the fleet.
[[nodiscard]] JobRank rankOf(const JobState &job, Instant now);

}
