#include "scheduling/JobRank.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// The result of a job is of use until three times its latency objective.
constexpr int LateFactor = 3;

enum Tier {
    TierLongRunning = 0,
    TierOnTime = 1,
    TierLate = 2,
    TierExpired = 3,
};

// Returns the length of the longest path through the dependencies of the steps, given the length of each step.
template<typename Length> Milliseconds longestPath(const std::vector<StepSpecification> &steps, Length length)
{
    std::vector<Milliseconds> ends;
    Milliseconds maximum {0};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        Milliseconds begin {0};
        for (const int earlier : steps[i].after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + length(i));
        maximum = std::max(maximum, ends.back());
    }
    return maximum;
}

}

Milliseconds remainingCriticalPath(const OccurrenceState &occurrence)
{
    const std::vector<StepSpecification> &steps = occurrence.job->specification.steps;
    return longestPath(steps, [&](std::size_t i) {
        const StepState &step = occurrence.steps[i];
        const bool done = step.doneCount == static_cast<int>(step.tasks.size());
        return done ? Milliseconds(0) : steps[i].estimate;
    });
}

Milliseconds criticalPath(const JobSpecification &job)
{
    return longestPath(job.steps, [&](std::size_t i) { return job.steps[i].estimate; });
}

Milliseconds latencyObjective(const JobState &job)
{
    const double path = static_cast<double>(criticalPath(job.specification).count()) * job.policy.stretch;
    return Milliseconds(static_cast<std::int64_t>(path)) + job.policy.latencyTarget;
}

JobRank rankOf(const JobState &job, Instant now)
{
    if (job.specification.isLongRunning()) {
        return {TierLongRunning, job.policy.priority, 0};
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(now - job.acceptedAt);
    const Milliseconds objective = latencyObjective(job);
    const Milliseconds remaining
        = job.occurrences.empty() ? Milliseconds(0) : remainingCriticalPath(job.occurrences.begin()->second);
    const Milliseconds slack = objective - age - remaining;
    if (slack.count() >= 0) {
        return {TierOnTime, 0, slack.count()};
    }
    const Milliseconds lateSlack = objective * LateFactor - age - remaining;
    if (lateSlack.count() >= 0) {
        return {TierLate, job.policy.priority, lateSlack.count()};
    }
    return {TierExpired, job.policy.priority, -age.count()};
}

}
