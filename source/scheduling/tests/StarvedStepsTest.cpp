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

}

// Only one step of a job was tried, again and again, so a job whose first step fits on no worker for now had nothing
// running although the second one could.
TEST(StarvedSteps, startsAnotherStepOfTheJobThatFits)
{
    constexpr std::int64_t MoreThanFreeMegabytes = 63'500;
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    SchedulerHarness &harness = workers.harness;
    harness.submit(
        "steady", {ServingWorkers::stepOf("steady", 8, 15'000)}, ServingWorkers::workFor(Second * 60, 15'000));
    harness.advance(Second * 12);
    ASSERT_EQ(harness.workers.workingCount("steady"), 8);
    StepSpecification large = ServingWorkers::stepOf("batch", 1, 12'000);
    large.demand.memoryMegabytes = MoreThanFreeMegabytes;
    harness.submit(
        "filling", {large, ServingWorkers::stepOf("batch", 1, 12'000)}, ServingWorkers::workFor(Second * 2, 12'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 1, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
