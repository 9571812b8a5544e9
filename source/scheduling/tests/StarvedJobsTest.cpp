#include "scheduling/StarvedJobs.h"
#include "scheduling/BackfillProbe.h"

#include <gtest/gtest.h>

#include <memory>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Instant Now {Second * 1'000};
// The pool of the jobs, whose capacity is short unless a test says otherwise.
const std::string Pool = "pool";

std::unique_ptr<JobState> jobAccepted(Milliseconds ago, Milliseconds idleFor)
{
    auto job = std::make_unique<JobState>();
    StepSpecification step;
    step.count = 3;
    step.demand = {7'000, 1'000, 0};
    step.estimate = Second * 3;
    step.backfills = true;
    job->specification.steps = {step};
    job->policy.pool = Pool;
    job->policy.stretch = 2.0;
    job->policy.latencyTarget = Second;
    job->acceptedAt = Now - ago;
    for (TaskState &task : createOccurrence(*job, 0).steps[0].tasks) {
        task.idleSince = Now - idleFor;
    }
    return job;
}

StepState &stepOf(JobState &job)
{
    return job.occurrences.at(0).steps[0];
}

std::size_t starvedCount(JobState &job)
{
    return starvedTasks({&stepOf(job)}, RecoveryHolds(), {Pool}, Now).size();
}

}

// Each starved job needs one running task. More of them would displace the tasks of other jobs.
TEST(StarvedJobs, takesOneTaskOfEachLongestIdleFirst)
{
    const auto recent = jobAccepted(Second * 20, Second * 9);
    const auto old = jobAccepted(Second * 20, Second * 12);
    const std::vector<TaskState *> starved
        = starvedTasks({&stepOf(*recent), &stepOf(*old)}, RecoveryHolds(), {Pool}, Now);
    ASSERT_EQ(starved.size(), 2U);
    EXPECT_EQ(starved[0]->step, &stepOf(*old));
    EXPECT_EQ(starved[1]->step, &stepOf(*recent));
}

// A job with a running task has its share, and a probe would take headroom from jobs that have none.
TEST(StarvedJobs, passesOverJobsThatHaveATaskRunning)
{
    const auto job = jobAccepted(Second * 20, Second * 9);
    stepOf(*job).tasks[1].phase = RunPhase::Running;
    --stepOf(*job).waitingCount;
    EXPECT_EQ(starvedCount(*job), 0U);
}

// The objective of these jobs is seven seconds. Jobs that can't meet it are placed after all that can.
TEST(StarvedJobs, waitsLessForJobsThatAreLate)
{
    EXPECT_EQ(starvedCount(*jobAccepted(Second * 3, Second * 3)), 0U);
    EXPECT_EQ(starvedCount(*jobAccepted(Second * 9, Second)), 0U);
    EXPECT_EQ(starvedCount(*jobAccepted(Second * 9, Milliseconds(2'500))), 1U);
    EXPECT_EQ(starvedCount(*jobAccepted(Second * 60, Milliseconds(2'500))), 1U);
}

// Late jobs took processors from jobs that could still meet their objective.
TEST(StarvedJobs, waitsLongerForLateJobsBesideThoseOnTime)
{
    const auto onTime = jobAccepted(Second * 3, Second * 3);
    const auto late = jobAccepted(Second * 60, Second * 3);
    const auto later = jobAccepted(Second * 60, Second * 9);
    const std::vector<TaskState *> starved
        = starvedTasks({&stepOf(*onTime), &stepOf(*late), &stepOf(*later)}, RecoveryHolds(), {Pool}, Now);
    ASSERT_EQ(starved.size(), 1U);
    EXPECT_EQ(starved[0]->step, &stepOf(*later));
}

// Callers expect something of each accepted job to run within three seconds where under half of the capacity is in use,
// and a job on time waited eight.
TEST(StarvedJobs, waitsForNobodyWhereCapacityIsNotShort)
{
    const auto onTime = jobAccepted(Second * 3, Milliseconds(2'500));
    const auto late = jobAccepted(Second * 60, Milliseconds(2'500));
    const auto recent = jobAccepted(Second, Second);
    EXPECT_EQ(
        starvedTasks({&stepOf(*onTime), &stepOf(*late), &stepOf(*recent)}, RecoveryHolds(), {"other"}, Now).size(), 2U);
}

// A task that was just refused or requeued must not be sent again before its delay is over.
TEST(StarvedJobs, passesOverTasksThatMustNotStartYet)
{
    const auto job = jobAccepted(Second * 20, Second * 9);
    for (TaskState &task : stepOf(*job).tasks) {
        task.notBefore = Now + Second;
    }
    EXPECT_EQ(starvedCount(*job), 0U);
}

// Probes of starved jobs may share a worker, since there can be more such jobs than workers.
TEST(StarvedJobs, mayShareAWorkerWithAnotherProbe)
{
    BackfillInterferenceModel model;
    TaskState probe;
    probe.isProbe = true;
    WorkerState worker;
    worker.tasks.insert(&probe);
    EXPECT_EQ(probeExcessLoad(model, worker, model.idOf("batch"), 0.1, ProbeKind::Overdue), std::nullopt);
    EXPECT_NE(probeExcessLoad(model, worker, model.idOf("batch"), 0.1, ProbeKind::Starved), std::nullopt);
}

}
