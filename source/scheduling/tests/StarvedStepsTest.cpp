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

FakeWorkers::Behaviour workFor(Milliseconds duration, std::int64_t milliCores)
{
    return {duration, 0, false, [milliCores](Instant) {
                return milliCores;
            }};
}

StepSpecification stepOf(const std::string &image, int count, std::int64_t milliCores)
{
    StepSpecification step = ServingWorkers::fillingStep(count);
    step.image = image;
    step.demand.milliCores = milliCores;
    return step;
}

}

// Only one step of a job was tried, again and again, so a job whose first step fits on no worker for now had nothing
// running although the second one could.
TEST(StarvedSteps, startsAnotherStepOfTheJobThatFits)
{
    constexpr std::int64_t MoreThanFreeMegabytes = 63'500;
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    SchedulerHarness &harness = workers.harness;
    harness.submit("steady", {stepOf("steady", 8, 15'000)}, workFor(Second * 60, 15'000));
    harness.advance(Second * 12);
    ASSERT_EQ(harness.workers.workingCount("steady"), 8);
    StepSpecification large = stepOf("batch", 1, 12'000);
    large.demand.memoryMegabytes = MoreThanFreeMegabytes;
    harness.submit("filling", {large, stepOf("batch", 1, 12'000)}, workFor(Second * 2, 12'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 1, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
