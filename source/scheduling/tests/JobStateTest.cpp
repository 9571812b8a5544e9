#include "scheduling/JobRank.h"
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

TEST(TaskName, survivesItsText)
{
    const TaskName name {"5c0e7a21d94b36f8", 3, 1, 17};
    EXPECT_EQ(TaskName::parse(name.text()), name);
    EXPECT_EQ(TaskName::parse("a.b.c"), std::nullopt);
    EXPECT_EQ(TaskName::parse("job.1.2.-3"), std::nullopt);
    EXPECT_EQ(TaskName::parse(".0.0.0"), std::nullopt);
}

TEST(JobSpecification, survivesTheStore)
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

TEST(JobSpecification, refusesWhatCanNeverRun)
{
    JobSpecification forward = twoSteps();
    forward.steps[0].after = {1};
    EXPECT_NE(errorOf(validate(forward)), nullptr);
    JobSpecification empty = twoSteps();
    empty.steps[0].count = 0;
    EXPECT_NE(errorOf(validate(empty)), nullptr);
    JobSpecification hasty = twoSteps();
    hasty.repeatCount = 2;
    EXPECT_NE(errorOf(validate(hasty)), nullptr);
}

TEST(JobState, progressSurvivesTheStore)
{
    JobState job;
    start(job, Milliseconds(0));
    job.nextOccurrence = 1;
    job.everStarted = true;
    StepState &first = job.occurrences.at(0).steps[0];
    first.tasks[1].phase = RunPhase::Done;
    ++first.doneCount;
    first.tasks[0].failedRuns = {4, 7};
    first.tasks[0].checkpoint = "saved";
    JobState restored;
    restored.specification = job.specification;
    restoreProgress(restored, describeProgress(job));
    const StepState &again = restored.occurrences.at(0).steps[0];
    EXPECT_EQ(again.tasks[1].phase, RunPhase::Done);
    EXPECT_EQ(again.doneCount, 1);
    EXPECT_EQ(again.waitingCount, 1);
    EXPECT_EQ(again.tasks[0].failedRuns, (std::set<std::uint64_t> {4, 7}));
    EXPECT_EQ(again.tasks[0].checkpoint, "saved");
    EXPECT_FALSE(restored.occurrences.at(0).isEligible(restored.occurrences.at(0).steps[1]));
}

TEST(JobRank, takesTheLongestChainAsTheObjective)
{
    JobState job;
    start(job, Milliseconds(0));
    EXPECT_EQ(longestChain(job.specification), Milliseconds(1'500));
    EXPECT_EQ(objectiveOf(job), Milliseconds(3'600));
}

// Load: a burst that can't all be served in time.
TEST(JobRank, putsWhatIsAboutToBeLateFirstAndWhatIsPastUseLast)
{
    JobState fresh;
    start(fresh, Milliseconds(0));
    JobState urgent;
    start(urgent, Milliseconds(2'000));
    JobState late;
    start(late, Milliseconds(4'000));
    JobState hopeless;
    start(hopeless, Milliseconds(20'000));
    EXPECT_LT(rankOf(urgent, Now), rankOf(fresh, Now));
    EXPECT_LT(rankOf(fresh, Now), rankOf(late, Now));
    EXPECT_LT(rankOf(late, Now), rankOf(hopeless, Now));
}

TEST(WorkerClock, countsALeaseOnTheWorkersOwnClock)
{
    WorkerClock clock;
    clock.observe(5'000, Now, Now + Milliseconds(10));
    const std::int64_t end = clock.leaseEnd(Now + Milliseconds(100), Milliseconds(2'000));
    EXPECT_EQ(end, 7'100);
    // A clock that is 2 % slow reaches the end later than one that is exact.
    EXPECT_GT(clock.surelyPast(end), Now + Milliseconds(2'140));
}

TEST(WorkerClock, ignoresAnswersOfAnEarlierIncarnation)
{
    WorkerClock clock;
    clock.observe(900'000, Now, Now);
    clock.reset(Now + Milliseconds(50));
    clock.observe(900'100, Now, Now + Milliseconds(60));
    EXPECT_FALSE(clock.isKnown());
    clock.observe(20, Now + Milliseconds(60), Now + Milliseconds(70));
    EXPECT_TRUE(clock.isKnown());
}

TEST(WorkerChoice, keepsToEveryHardLimit)
{
    WorkerState worker;
    worker.listing = {"w", "w:1", "pool", "depot", "rack", {"fast"}, {4'000, 8'000, 0}, 1, false};
    worker.listed = true;
    worker.contacted = true;
    JobState job;
    job.specification.steps.resize(1);
    StepSpecification &step = job.specification.steps[0];
    step.demand = {2'000, 1'000, 0};
    StepState &state = createOccurrence(job, 0).steps[0];
    worker.tasks.insert(&state.tasks[0]);
    const std::set<std::string> avoided;
    BackfillInterferenceModel pressure;
    state.image = pressure.idOf(step.image);
    WorkerQuery query;
    query.step = &state;
    query.pool = "pool";
    query.avoided = &avoided;
    query.pressure = &pressure;
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
