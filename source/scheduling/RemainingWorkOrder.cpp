#include "scheduling/RemainingWorkOrder.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr double FullPercent = 100.0;
// Lower values would make the work per value meaninglessly large.
constexpr double MinimumValue = 0.01;

// Returns the part of a task's work that remains. A paused or stopped task resumes from its checkpoint.
double remainingShare(const TaskState &task, const StepSpecification &step)
{
    const bool keepsProgress = task.phase == RunPhase::Running || step.checkpoints;
    // Workers may report any number.
    const double doneShare = std::clamp(static_cast<double>(task.percent) / FullPercent, 0.0, 1.0);
    return keepsProgress ? 1.0 - doneShare : 1.0;
}

// Returns the estimated work of the unfinished tasks, in core-milliseconds.
double remainingWork(const JobState &job)
{
    double work = 0.0;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const StepState &step : occurrence.steps) {
            double tasks = 0.0;
            for (const TaskState &task : step.tasks) {
                tasks += task.phase == RunPhase::Done ? 0.0 : remainingShare(task, step.specification());
            }
            work += tasks * workOfTask(step.specification());
        }
    }
    return work;
}

}

JobRank RemainingWorkOrder::rankOf(const JobState &job, Instant now) const
{
    const JobTier tier = tierOf(job, now);
    if (tier == JobTier::LongRunning) {
        return {tier, job.policy.priority, 0, 0};
    }
    const std::int64_t slack = slackOf(job, now).count();
    if (tier == JobTier::Expired) {
        return {tier, job.policy.priority, 0, slack};
    }
    const int priority = tier == JobTier::OnTime ? 0 : job.policy.priority;
    const double workPerValue = remainingWork(job) / std::max(MinimumValue, job.value);
    return {tier, priority, static_cast<std::int64_t>(workPerValue), slack};
}

}
