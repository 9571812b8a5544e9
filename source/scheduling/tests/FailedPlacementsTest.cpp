#include "scheduling/FailedPlacements.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// A job with a single step, for which a worker is sought.
struct Candidate
{
    explicit Candidate(std::int64_t milliCores, const std::string &pool = "pool")
    {
        job.policy.pool = pool;
        job.specification.steps.resize(1);
        job.specification.steps[0].demand = {milliCores, 1'000, 0};
    }

    StepSpecification &specification()
    {
        return job.specification.steps[0];
    }

    StepState &step()
    {
        return (job.occurrences.empty() ? createOccurrence(job, 0) : job.occurrences.at(0)).steps[0];
    }

    JobState job;
};

}

// Load pattern: many steps that wait behind full workers. Only smaller demands are worth another search.
TEST(FailedPlacements, coverStepsWithAtLeastTheSameDemand)
{
    FailedPlacements failed;
    failed.add(Candidate(4'000).step());
    EXPECT_TRUE(failed.covers(Candidate(4'000).step()));
    EXPECT_TRUE(failed.covers(Candidate(9'000).step()));
    EXPECT_FALSE(failed.covers(Candidate(3'000).step()));
    EXPECT_FALSE(failed.covers(Candidate(9'000, "other").step()));
    Candidate lessMemory(9'000);
    lessMemory.specification().demand.memoryMegabytes = 10;
    EXPECT_FALSE(failed.covers(lessMemory.step()));
    failed.clear();
    EXPECT_FALSE(failed.covers(Candidate(4'000).step()));
}

// A step with a required label, a limit per worker or placement advice may find no worker while others still do.
TEST(FailedPlacements, ignoreFailuresOfRestrictedSteps)
{
    FailedPlacements failed;
    Candidate labelled(1'000);
    labelled.specification().requiredLabel = "fast";
    failed.add(labelled.step());
    Candidate spread(1'000);
    spread.specification().perWorkerLimit = 1;
    failed.add(spread.step());
    Candidate advised(1'000);
    advised.job.policy.advised = true;
    failed.add(advised.step());
    EXPECT_FALSE(failed.covers(Candidate(9'000).step()));
    failed.add(Candidate(1'000).step());
    EXPECT_TRUE(failed.covers(labelled.step()));
}

// The placement of backfilling tasks depends on their interference with serving tasks, and long-running tasks may use
// workers that are reserved for them.
TEST(FailedPlacements, compareOnlyStepsWithTheSamePlacementRules)
{
    FailedPlacements failed;
    Candidate backfilling(1'000);
    backfilling.specification().backfills = true;
    backfilling.step().image = 3;
    failed.add(backfilling.step());
    Candidate other(1'000);
    other.specification().backfills = true;
    other.step().image = 4;
    EXPECT_TRUE(failed.covers(backfilling.step()));
    EXPECT_FALSE(failed.covers(other.step()));
    EXPECT_FALSE(failed.covers(Candidate(1'000).step()));
    Candidate longRunning(1'000);
    longRunning.specification().longRunning = true;
    failed.add(Candidate(1'000).step());
    EXPECT_FALSE(failed.covers(longRunning.step()));
}

}
