#include "scheduling/PassingDemand.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Begin {Milliseconds(1'000)};
constexpr std::int64_t Capacity = 100'000;
constexpr std::int64_t LargestWorker = 64'000;

PassingSample sampleOf(std::int64_t tasks, std::int64_t milliCores)
{
    PassingSample sample;
    sample.add(tasks, milliCores);
    return sample;
}

}

// Load: lasting jobs that come in before any passing work was seen.
TEST(PassingDemand, keepsAShareForWhatWasNotSeenYet)
{
    const PassingDemand demand(Begin);
    EXPECT_GE(demand.expected(Begin + Milliseconds(8'000), Capacity), Capacity / 10);
    EXPECT_EQ(demand.typicalTask(LargestWorker), LargestWorker / 2);
}

// Load: a pool that serves lasting jobs only.
TEST(PassingDemand, givesTheShareFreeWhenNoPassingWorkComes)
{
    const PassingDemand demand(Begin);
    EXPECT_EQ(demand.expected(Begin + Milliseconds(60'000), Capacity), 0);
}

TEST(PassingDemand, followsWhatIsAskedFor)
{
    PassingDemand demand(Begin);
    constexpr int Samples = 400;
    for (int i = 0; i < Samples; ++i) {
        demand.observe(sampleOf(3, 20'000));
    }
    EXPECT_NEAR(static_cast<double>(demand.expected(Begin + Milliseconds(40'000), Capacity)), 60'000.0, 100.0);
    EXPECT_NEAR(static_cast<double>(demand.typicalTask(LargestWorker)), 20'000.0, 1.0);
}

// A few large tasks count for more than many small ones: they are the ones that need whole gaps.
TEST(PassingDemand, weighsTheTypicalTaskByItsSize)
{
    PassingDemand demand(Begin);
    PassingSample sample = sampleOf(10, 1'000);
    sample.add(1, 30'000);
    constexpr int Samples = 100;
    for (int i = 0; i < Samples; ++i) {
        demand.observe(sample);
    }
    EXPECT_GT(demand.typicalTask(LargestWorker), 20'000);
}

}
