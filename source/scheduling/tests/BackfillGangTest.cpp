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

// Probes bound the time for which the prediction rules all workers out, and left out gangs, which waited for good.
TEST(BackfillGang, startsBesideServingTasksWithHeadroom)
{
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    SchedulerHarness &harness = workers.harness;
    StepSpecification gang = ServingWorkers::fillingStep(2);
    gang.demand.milliCores = 12'000;
    gang.gang = true;
    harness.submit("gang", {gang}, {Second * 2, 0, false, [](Instant) {
                                        return 12'000;
                                    }});
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"gang", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
