#include "scheduling/RemainingWorkOrder.h"
#include "scheduling/WorkerChoice.h"
#include "scheduling/WorkerClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

JobSpecification twoSteps()
{
    JobSpecification job;
    job.id = "job";
    job.queue = "queue";
    StepSpecification first;
    first.count = 2;
    first.estimate = Milliseconds(1'000);
    StepSpecification second;
    second.count = 3;
    second.estimate = Milliseconds(500);
    second.after = {0};
    job.steps = {first, second};
    return job;
}

void start(JobState &job, Milliseconds age)
{
    job.specification = twoSteps();
    job.policy.stretch = 2.0;
    job.policy.latencyTarget = Milliseconds(600);
    job.acceptedAt = Instant(Milliseconds(100'000)) - age;
    createOccurrence(job, 0);
}

constexpr Instant Now {Milliseconds(100'000)};

}

TEST(TaskName, parsesItsOwnTextAndRejectsOthers)
{
    const TaskName name {"5c0e7a21d94b36f8", 3, 1, 17};
    EXPECT_EQ(TaskName::parse(name.text()), name);
    EXPECT_EQ(TaskName::parse("a.b.c"), std::nullopt);
    EXPECT_EQ(TaskName::parse("job.1.2.-3"), std::nullopt);
    EXPECT_EQ(TaskName::parse(".0.0.0"), std::nullopt);
}

TEST(JobSpecification, isUnchangedByStoring)
{
    JobSpecification job = twoSteps();
    job.payload = "text";
    job.steps[1].longRunning = true;
    job.steps[1].tailTarget = Milliseconds(50);
    job.steps[0].backfills = true;
    job.repeatCount = 3;
    job.interval = 200;
    const Result<JobSpecification> read = parseJobSpecification(describe(job));
    ASSERT_EQ(errorOf(read), nullptr);
    EXPECT_EQ(std::get<JobSpecification>(read), job);
}

TEST(JobSpecification, rejectsJobsThatCanNeverRun)
{
    JobSpecification forwardDependency = twoSteps();
    forwardDependency.steps[0].after = {1};
    EXPECT_NE(errorOf(validate(forwardDependency)), nullptr);
    JobSpecification noTasks = twoSteps();
    noTasks.steps[0].count = 0;
    EXPECT_NE(errorOf(validate(noTasks)), nullptr);
    JobSpecification noInterval = twoSteps();
    noInterval.repeatCount = 2;
    EXPECT_NE(errorOf(validate(noInterval)), nullptr);
}

TEST(JobState, restoresProgressFromTheStore)
{
    JobState job;
    start(job, Milliseconds(0));
    job.nextOccurrence = 1;
    job.hasStarted = true;
    StepState &first = job.occurrences.at(0).steps[0];
    first.tasks[1].phase = RunPhase::Done;
    ++first.doneCount;
    first.tasks[0].failedRuns = {4, 7};
    first.tasks[0].checkpoint = "saved";
    JobState restored;
    restored.specification = job.specification;
    restoreProgress(restored, describeProgress(job));
    const StepState &restoredStep = restored.occurrences.at(0).steps[0];
    EXPECT_EQ(restoredStep.tasks[1].phase, RunPhase::Done);
    EXPECT_EQ(restoredStep.doneCount, 1);
    EXPECT_EQ(restoredStep.waitingCount, 1);
    EXPECT_EQ(restoredStep.tasks[0].failedRuns, (std::set<std::uint64_t> {4, 7}));
    EXPECT_EQ(restoredStep.tasks[0].checkpoint, "saved");
    EXPECT_FALSE(restored.occurrences.at(0).isEligible(restored.occurrences.at(0).steps[1]));
}

TEST(JobRank, derivesLatencyObjectiveFromCriticalPath)
{
    JobState job;
    start(job, Milliseconds(0));
    EXPECT_EQ(criticalPath(job.specification), Milliseconds(1'500));
    EXPECT_EQ(latencyObjective(job), Milliseconds(3'600));
}

// Load pattern: a burst that exceeds the capacity, so that not all jobs can meet their latency objective.
TEST(JobRank, placesUrgentJobsFirstAndExpiredJobsLast)
{
    JobState fresh;
    start(fresh, Milliseconds(0));
    JobState urgent;
    start(urgent, Milliseconds(2'000));
    JobState late;
    start(late, Milliseconds(4'000));
    JobState expired;
    start(expired, Milliseconds(20'000));
    const RemainingWorkOrder order;
    EXPECT_LT(order.rankOf(urgent, Now), order.rankOf(fresh, Now));
    EXPECT_LT(order.rankOf(fresh, Now), order.rankOf(late, Now));
    EXPECT_LT(order.rankOf(late, Now), order.rankOf(expired, Now));
}

TEST(WorkerClock, computesLeaseExpiryOnTheWorkersClock)
{
    WorkerClock clock;
    clock.observe(5'000, Now, Now + Milliseconds(10));
    const std::int64_t end = clock.leaseEnd(Now + Milliseconds(100), Milliseconds(2'000));
    // The clock shows at least 5,088 by then, and a lease must not last longer than a successor assumes.
    EXPECT_EQ(end, 7'088);
    // A clock that runs 2 % slow reaches the lease expiry later than an exact one.
    EXPECT_GT(clock.expiryUpperBound(end), Now + Milliseconds(2'140));
}

// A report may wait for seconds at the worker before its clock is read. A successor reckons with leases of the granted
// length.
TEST(WorkerClock, grantsNoLeaseThatOutlastsItsLengthAfterAReportThatWaited)
{
    WorkerClock clock;
    const Instant requestedAt = Instant() + Milliseconds(10'000);
    const Instant answeredAt = requestedAt + Milliseconds(2'000);
    constexpr std::int64_t Reading = 5'000;
    clock.observe(Reading, requestedAt, answeredAt);
    EXPECT_EQ(clock.leaseEnd(answeredAt, Milliseconds(6'000)), Reading + 6'000);
}

// An owner that is short of processor time reads an answer seconds late. The earlier reading tells more.
TEST(WorkerClock, keepsAnEarlierReadingThatIsMoreExactThanALateOne)
{
    WorkerClock clock;
    const Instant now = Instant() + Milliseconds(10'000);
    clock.observe(5'000, now, now);
    clock.observe(6'000, now + Milliseconds(1'000), now + Milliseconds(5'000));
    EXPECT_EQ(clock.leaseEnd(now + Milliseconds(5'000), Milliseconds(6'000)), 5'000 + 4'900 + 6'000);
}

TEST(WorkerClock, ignoresReadingsOfAnEarlierIncarnation)
{
    WorkerClock clock;
    clock.observe(900'000, Now, Now);
    clock.reset(Now + Milliseconds(50));
    clock.observe(900'100, Now, Now + Milliseconds(60));
    EXPECT_FALSE(clock.isKnown());
    clock.observe(20, Now + Milliseconds(60), Now + Milliseconds(70));
    EXPECT_TRUE(clock.isKnown());
}

TEST(WorkerChoice, rejectsWorkersThatViolateAHardLimit)
{
    WorkerState worker;
    worker.listing = {"w", "w:1", "pool", "depot", "rack", {"fast"}, {4'000, 8'000, 0}, 1, false};
    worker.listed = true;
    worker.hasAnswered = true;
    JobState job;
    job.specification.steps.resize(1);
    StepSpecification &step = job.specification.steps[0];
    step.demand = {2'000, 1'000, 0};
    StepState &state = createOccurrence(job, 0).steps[0];
    worker.tasks.insert(&state.tasks[0]);
    const std::set<std::string> avoidedWorkers;
    BackfillInterferenceModel interference;
    state.image = interference.idOf(step.image);
    PlacementQuery query;
    query.step = &state;
    query.pool = "pool";
    query.avoidedWorkers = &avoidedWorkers;
    query.interference = &interference;
    query.now = Now;
    ASSERT_TRUE(placementCost(worker, query));
    step.perWorkerLimit = 1;
    EXPECT_FALSE(placementCost(worker, query));
    step.perWorkerLimit = 0;
    step.requiredLabel = "slow";
    EXPECT_FALSE(placementCost(worker, query));
    step.requiredLabel = "fast";
    EXPECT_TRUE(placementCost(worker, query));
    worker.used = {3'000, 0, 0};
    EXPECT_FALSE(placementCost(worker, query));
    worker.used = {};
    worker.listing.draining = true;
    EXPECT_FALSE(placementCost(worker, query));
    worker.listing.draining = false;
    query.pool = "other";
    EXPECT_FALSE(placementCost(worker, query));
}

}
