#include "scheduling/FailedPlacements.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// A job of one step.
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

// Load: a queue of steps behind full workers; only smaller ones are worth another search.
TEST(FailedPlacements, ruleOutWhatAsksForAtLeastAsMuch)
{
    FailedPlacements failed;
    failed.note(Candidate(4'000).step());
    EXPECT_TRUE(failed.ruleOut(Candidate(4'000).step()));
    EXPECT_TRUE(failed.ruleOut(Candidate(9'000).step()));
    EXPECT_FALSE(failed.ruleOut(Candidate(3'000).step()));
    EXPECT_FALSE(failed.ruleOut(Candidate(9'000, "other").step()));
    Candidate thinner(9'000);
    thinner.specification().demand.memoryMegabytes = 10;
    EXPECT_FALSE(failed.ruleOut(thinner.step()));
    failed.clear();
    EXPECT_FALSE(failed.ruleOut(Candidate(4'000).step()));
}

// A step with a label, a spread or an advisor may fail where others still find room.
TEST(FailedPlacements, learnNothingFromStepsWithLimitsOfTheirOwn)
{
    FailedPlacements failed;
    Candidate labelled(1'000);
    labelled.specification().requiredLabel = "fast";
    failed.note(labelled.step());
    Candidate spread(1'000);
    spread.specification().perWorkerLimit = 1;
    failed.note(spread.step());
    Candidate advised(1'000);
    advised.job.policy.advised = true;
    failed.note(advised.step());
    EXPECT_FALSE(failed.ruleOut(Candidate(9'000).step()));
    failed.note(Candidate(1'000).step());
    EXPECT_TRUE(failed.ruleOut(labelled.step()));
}

// Backfilling tasks go by what they disturb, and lasting ones may use workers that are kept free of others.
TEST(FailedPlacements, compareOnlyStepsThatArePlacedByTheSameRules)
{
    FailedPlacements failed;
    Candidate backfilling(1'000);
    backfilling.specification().backfills = true;
    backfilling.step().image = 3;
    failed.note(backfilling.step());
    Candidate other(1'000);
    other.specification().backfills = true;
    other.step().image = 4;
    EXPECT_TRUE(failed.ruleOut(backfilling.step()));
    EXPECT_FALSE(failed.ruleOut(other.step()));
    EXPECT_FALSE(failed.ruleOut(Candidate(1'000).step()));
    Candidate lasting(1'000);
    lasting.specification().longRunning = true;
    failed.note(Candidate(1'000).step());
    EXPECT_FALSE(failed.ruleOut(lasting.step()));
}

}
