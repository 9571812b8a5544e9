#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// Jobs that fail by their own fault had all workers quarantined for up to 16 s, also for a task that lasts.
TEST(Quarantine, leavesWorkersToOthersWhenJobsFailEverywhere)
{
    constexpr Milliseconds Second {1'000};
    // Callers expect a task that lasts to run this long after it could.
    constexpr Milliseconds LongestWait {6'000};
    constexpr int FailingRuns = 3;
    SchedulerHarness harness;
    for (int i = 0; i < 4; ++i) {
        harness.addWorker("worker-" + std::to_string(i), 64'000, 64'000);
    }
    harness.advance(Second);
    StepSpecification failing;
    failing.count = 8;
    failing.demand = {8'000, 1'000, 0};
    failing.estimate = Second;
    failing.perWorkerLimit = 2;
    for (int i = 0; i < 12; ++i) {
        harness.submit("failing-" + std::to_string(i), {failing}, {Second / 5, FailingRuns, false});
        harness.advance(Second / 2);
    }
    StepSpecification lasting;
    lasting.demand = {8'000, 1'000, 0};
    lasting.longRunning = true;
    harness.submit("lasting", {lasting}, {Second, 0, true});
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"lasting", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
