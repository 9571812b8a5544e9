#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// A long-running gang that lacks one worker reserved all others for good, and no batch task ran on them.
TEST(ReservedWorkers, takeBatchTasksWhileAGangLacksAWorker)
{
    constexpr Milliseconds Second {1'000};
    // Callers expect an accepted job to run this long after it could.
    constexpr Milliseconds LongestWait {14'000};
    constexpr int WorkerCount = 4;
    SchedulerHarness harness;
    for (int i = 0; i < WorkerCount; ++i) {
        harness.addWorker("worker-" + std::to_string(i), 64'000, 64'000);
    }
    harness.advance(Second);
    StepSpecification gang;
    gang.count = WorkerCount + 1;
    gang.demand = {40'000, 1'000, 0};
    gang.gang = true;
    gang.longRunning = true;
    harness.submit("gang", {gang}, {Second, 0, true});
    harness.advance(Second);
    StepSpecification batch;
    batch.demand = {8'000, 1'000, 0};
    batch.estimate = Second;
    harness.submit("batch", {batch}, {Second, 0, false});
    harness.advance(LongestWait);
    EXPECT_TRUE(harness.durationOf("batch").has_value());
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
