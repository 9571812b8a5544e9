#include "scheduling/JobRank.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A job is worth something until three times its objective.
constexpr int LateFactor = 3;

enum Tier {
    TierLasting = 0,
    TierOnTime = 1,
    TierLate = 2,
    TierHopeless = 3,
};

// Returns the longest chain over the steps, where each contributes the given length.
template<typename Length> Milliseconds longest(const std::vector<StepSpecification> &steps, Length length)
{
    std::vector<Milliseconds> ends;
    Milliseconds most {0};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        Milliseconds begin {0};
        for (const int earlier : steps[i].after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + length(i));
        most = std::max(most, ends.back());
    }
    return most;
}

}

Milliseconds remainingChain(const OccurrenceState &occurrence)
{
    const std::vector<StepSpecification> &steps = occurrence.job->specification.steps;
    return longest(steps, [&](std::size_t i) {
        const StepState &step = occurrence.steps[i];
        const bool done = step.doneCount == static_cast<int>(step.tasks.size());
        return done ? Milliseconds(0) : steps[i].estimate;
    });
}

Milliseconds longestChain(const JobSpecification &job)
{
    return longest(job.steps, [&](std::size_t i) { return job.steps[i].estimate; });
}

Milliseconds objectiveOf(const JobState &job)
{
    const double chain = static_cast<double>(longestChain(job.specification).count()) * job.policy.stretch;
    return Milliseconds(static_cast<std::int64_t>(chain)) + job.policy.latencyTarget;
}

JobRank rankOf(const JobState &job, Instant now)
{
    if (job.specification.isLongRunning()) {
        return {TierLasting, job.policy.priority, 0};
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(now - job.acceptedAt);
    const Milliseconds objective = objectiveOf(job);
    const Milliseconds remaining
        = job.occurrences.empty() ? Milliseconds(0) : remainingChain(job.occurrences.begin()->second);
    const Milliseconds slack = objective - age - remaining;
    if (slack.count() >= 0) {
        return {TierOnTime, 0, slack.count()};
    }
    const Milliseconds lateSlack = objective * LateFactor - age - remaining;
    if (lateSlack.count() >= 0) {
        return {TierLate, job.policy.priority, lateSlack.count()};
    }
    return {TierHopeless, job.policy.priority, -age.count()};
}

}
