#include "scheduling/PlacementPacing.h"
#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Start {Milliseconds(1'000)};

// An order of jobs that takes a fixed time for each of them, as on an instance that runs slowly.
class SlowOrder final : public JobOrder
{
public:
    explicit SlowOrder(ManualClock *&clock) : m_clock(clock)
    {
    }

    [[nodiscard]] JobRank rankOf(const JobState &job, Instant now) const override
    {
        constexpr Milliseconds TimePerJob {2};
        m_clock->advance(TimePerJob);
        m_spent += TimePerJob;
        return m_order.rankOf(job, now);
    }

    [[nodiscard]] Milliseconds spent() const
    {
        return m_spent;
    }

private:
    ManualClock *&m_clock;
    RemainingWorkOrder m_order;
    mutable Milliseconds m_spent {0};
};

}

// Rounds that take no time must not be delayed.
TEST(PlacementPacing, letsShortRoundsFollowAtOnce)
{
    PlacementPacing pacing;
    EXPECT_EQ(pacing.delayUntilNext(Start), Milliseconds(0));
    pacing.noteRound(Start, Start);
    EXPECT_EQ(pacing.delayUntilNext(Start), Milliseconds(0));
}

TEST(PlacementPacing, pausesInProportionToTheRound)
{
    PlacementPacing pacing;
    pacing.noteRound(Start, Start + Milliseconds(20));
    EXPECT_EQ(pacing.delayUntilNext(Start + Milliseconds(20)), Milliseconds(60));
    EXPECT_EQ(pacing.delayUntilNext(Start + Milliseconds(70)), Milliseconds(10));
    EXPECT_EQ(pacing.delayUntilNext(Start + Milliseconds(200)), Milliseconds(0));
}

// A process that was suspended within a round must not wait as long again.
TEST(PlacementPacing, limitsThePause)
{
    PlacementPacing pacing;
    pacing.noteRound(Start, Start + Milliseconds(10'000));
    EXPECT_EQ(pacing.delayUntilNext(Start + Milliseconds(10'000)), Milliseconds(500));
}

// Each answer of a worker led to a round over all waiting jobs, so that a late owner had little time left for renewals.
TEST(PlacementPacing, leavesTimeForReportsBesideABacklog)
{
    ManualClock *clock = nullptr;
    const auto order = std::make_shared<SlowOrder>(clock);
    SchedulingPolicies policies;
    policies.order = order;
    SchedulerHarness harness(policies);
    clock = &harness.clock;
    constexpr int Workers = 8;
    constexpr std::int64_t MilliCores = 4'000;
    constexpr std::int64_t Megabytes = 8'000;
    for (int i = 0; i < Workers; ++i) {
        harness.addWorker("worker-" + std::to_string(i), MilliCores, Megabytes);
    }
    harness.advance(Milliseconds(1'000));
    StepSpecification step;
    step.count = 1;
    step.demand = {MilliCores, Megabytes / 2, 0};
    step.estimate = Milliseconds(60'000);
    constexpr int Jobs = 30;
    for (int i = 0; i < Jobs; ++i) {
        harness.submit("job-" + std::to_string(i), {step}, {Milliseconds(60'000), 0, false});
    }
    harness.advance(Milliseconds(1'000));
    const Instant begin = harness.clock.now();
    const Milliseconds spentBefore = order->spent();
    harness.advance(Milliseconds(5'000));
    const auto passed = std::chrono::duration_cast<Milliseconds>(harness.clock.now() - begin);
    EXPECT_LT((order->spent() - spentBefore) * 3, passed) << "placement took over a third of the time";
}

}
