#include "scheduling/BatchDemandEstimator.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant StartTime {Milliseconds(1'000)};
constexpr std::int64_t Capacity = 100'000;
constexpr std::int64_t LargestWorker = 64'000;

BatchDemandSample sampleOf(std::int64_t tasks, std::int64_t milliCores)
{
    BatchDemandSample sample;
    sample.add(tasks, milliCores);
    return sample;
}

}

// Load pattern: long-running jobs that are submitted before any batch job. They must leave a share for batch tasks.
TEST(BatchDemandEstimator, reservesAShareBeforeAnyBatchTaskWasObserved)
{
    const BatchDemandEstimator demand(StartTime);
    EXPECT_GE(demand.expectedMilliCores(StartTime + Milliseconds(8'000), Capacity), Capacity / 10);
    EXPECT_EQ(demand.typicalTaskMilliCores(LargestWorker), LargestWorker / 2);
}

// Load pattern: a pool with long-running jobs only.
TEST(BatchDemandEstimator, releasesTheShareWhenNoBatchTasksArrive)
{
    const BatchDemandEstimator demand(StartTime);
    EXPECT_EQ(demand.expectedMilliCores(StartTime + Milliseconds(60'000), Capacity), 0);
}

TEST(BatchDemandEstimator, followsTheObservedDemand)
{
    BatchDemandEstimator demand(StartTime);
    constexpr int Samples = 400;
    for (int i = 0; i < Samples; ++i) {
        demand.observe(sampleOf(3, 20'000));
    }
    EXPECT_NEAR(
        static_cast<double>(demand.expectedMilliCores(StartTime + Milliseconds(40'000), Capacity)), 60'000.0, 100.0);
    EXPECT_NEAR(static_cast<double>(demand.typicalTaskMilliCores(LargestWorker)), 20'000.0, 1.0);
}

// A few large tasks must outweigh many small ones, since they are the ones that need large gaps.
TEST(BatchDemandEstimator, weighsTasksByTheirDemand)
{
    BatchDemandEstimator demand(StartTime);
    BatchDemandSample sample = sampleOf(10, 1'000);
    sample.add(1, 30'000);
    constexpr int Samples = 100;
    for (int i = 0; i < Samples; ++i) {
        demand.observe(sample);
    }
    EXPECT_GT(demand.typicalTaskMilliCores(LargestWorker), 20'000);
}

}
