#pragma once

#include "scheduling/JobState.h"

#include <compare>

namespace Wagtail
{

// What a job can still achieve. Jobs of earlier tiers are placed first.
enum class JobTier {
    // The job runs until it is cancelled.
    LongRunning,
    // The job can still meet its latency objective.
    OnTime,
    // The job can only finish late.
    Late,
    // The job is too late to be of use to its caller. It still has to be done.
    Expired,
};

// Orders the jobs that wait for workers. Lower ranks are placed first.
struct JobRank
{
    JobTier tier = JobTier::LongRunning;
    int priority = 0;
    // Orders the jobs of one tier and priority. Its unit depends on the JobOrder.
    std::int64_t position = 0;
    // Breaks ties, in milliseconds. See slackOf().
    std::int64_t slack = 0;

    auto operator<=>(const JobRank &) const = default;
};

// Returns the estimated work of one task of the step, in core-milliseconds. Estimates below 0 or above a day are
// limited.
[[nodiscard]] double workOfTask(const StepSpecification &step);

// Returns the estimated work of all tasks of one occurrence of the job, in core-milliseconds.
[[nodiscard]] double workOf(const JobSpecification &job);

// Returns the estimated duration of the critical path through the unfinished steps of the occurrence.
[[nodiscard]] Milliseconds remainingCriticalPath(const OccurrenceState &occurrence);

// Returns the estimated duration of the critical path through all steps of the job.
[[nodiscard]] Milliseconds criticalPath(const JobSpecification &job);

// Returns the latency objective of the job, counted from its acceptance. See QueuePolicy::stretch.
[[nodiscard]] Milliseconds latencyObjective(const JobState &job);

// Returns how long the job can still wait without missing its latency objective, if it ran undisturbed afterwards.
// Negative if it is too late for that.
[[nodiscard]] Milliseconds slackOf(const JobState &job, Instant now);

// Returns what the job can still achieve if it gets its workers now.
[[nodiscard]] JobTier tierOf(const JobState &job, Instant now);

}
