#pragma once

#include "scheduling/JobState.h"

#include <compare>

namespace Wagtail
{

// The place of a job among those that wait for workers; lower goes first.
struct JobRank
{
    int tier = 0;
    int priority = 0;
    // Time until the job can no longer meet its objective, in milliseconds.
    std::int64_t slack = 0;

    auto operator<=>(const JobRank &) const = default;
};

// Returns the longest chain of estimated work that the occurrence still has ahead of it.
[[nodiscard]] Milliseconds remainingChain(const OccurrenceState &occurrence);

// Returns the longest chain of estimated work of the whole job.
[[nodiscard]] Milliseconds longestChain(const JobSpecification &job);

// Returns the latency objective of a job.
[[nodiscard]] Milliseconds objectiveOf(const JobState &job);

// Load pattern: bursts above the fleet's capacity. Jobs that still meet their objective go first, the one about to
// lose it before others; then those that can only be late; last those that are past any use.
[[nodiscard]] JobRank rankOf(const JobState &job, Instant now);

}
