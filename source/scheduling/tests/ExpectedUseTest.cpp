#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr std::int64_t HalfOfTarget = 25;
// Callers expect an accepted job to run this long after it could.
constexpr Milliseconds LongestWait {14'000};
constexpr std::int64_t LittleUse = 1'000;

}

// Processors count as used that nobody uses, while the tasks that asked for them use few.
TEST(ExpectedUse, leavesProcessorsToAJobThatNobodyUses)
{
    ServingWorkers workers([](Instant) { return ServingWorkers::IdleTail; });
    SchedulerHarness &harness = workers.harness;
    harness.submit(
        "steady", {ServingWorkers::stepOf("steady", 16, 14'000)}, ServingWorkers::workFor(Second * 60, LittleUse));
    harness.advance(Second * 2);
    ASSERT_EQ(harness.workers.workingCount("steady"), 16);
    harness.submit(
        "filling", {ServingWorkers::stepOf("batch", 1, 12'000)}, ServingWorkers::workFor(Second * 2, 12'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

// The growth of load that is expected of tasks until they use all that they asked for was expected for good, and left
// no headroom to others.
TEST(ExpectedUse, leavesHeadroomToAJobBesideTasksThatUseLittle)
{
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    SchedulerHarness &harness = workers.harness;
    for (int i = 0; i < 12; ++i) {
        harness.submit("steady-" + std::to_string(i), {ServingWorkers::stepOf("steady", 1, 15'000)},
            ServingWorkers::workFor(Second * 60, LittleUse));
    }
    harness.advance(Second * 20);
    ASSERT_EQ(harness.workers.runningCount(), 16U);
    harness.submit("filling", {ServingWorkers::stepOf("batch", 1, 7'000)}, ServingWorkers::workFor(Second * 2, 7'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
