#include "scheduling/JobRank.h"

#include <algorithm>
#include <numeric>

namespace Wagtail
{

namespace
{

// The result of a job is of use until three times its latency objective.
constexpr int LateFactor = 3;
// Submitters may declare any run time. Longer ones than this count as this.
constexpr Milliseconds LongestEstimate {24 * 3'600'000};

Milliseconds limitedEstimate(const StepSpecification &step)
{
    return std::clamp(step.estimate, Milliseconds(0), LongestEstimate);
}

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
        return done ? Milliseconds(0) : limitedEstimate(steps[i]);
    });
}

Milliseconds criticalPath(const JobSpecification &job)
{
    return longestPath(job.steps, [&](std::size_t i) { return limitedEstimate(job.steps[i]); });
}

Milliseconds latencyObjective(const JobState &job)
{
    const double path = static_cast<double>(criticalPath(job.specification).count()) * job.policy.stretch;
    return Milliseconds(static_cast<std::int64_t>(path)) + job.policy.latencyTarget;
}

double workOfTask(const StepSpecification &step)
{
    constexpr double MilliCoresPerCore = 1'000.0;
    const double cores = static_cast<double>(step.demand.milliCores) / MilliCoresPerCore;
    return cores * static_cast<double>(limitedEstimate(step).count());
}

double workOf(const JobSpecification &job)
{
    return std::accumulate(job.steps.begin(), job.steps.end(), 0.0,
        [](double work, const StepSpecification &step) { return work + step.count * workOfTask(step); });
}

Milliseconds slackOf(const JobState &job, Instant now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - job.acceptedAt);
    const Milliseconds remaining
        = job.occurrences.empty() ? Milliseconds(0) : remainingCriticalPath(job.occurrences.begin()->second);
    return latencyObjective(job) - age - remaining;
}

JobTier tierOf(const JobState &job, Instant now)
{
    if (job.specification.isLongRunning()) {
        return JobTier::LongRunning;
    }
    const Milliseconds slack = slackOf(job, now);
    if (slack.count() >= 0) {
        return JobTier::OnTime;
    }
    const Milliseconds lateSlack = slack + latencyObjective(job) * (LateFactor - 1);
    return lateSlack.count() >= 0 ? JobTier::Late : JobTier::Expired;
}

}
