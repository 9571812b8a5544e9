#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// Two long-running tasks that had shared a crash waited while their workers were down, and were then placed together on
// the first one that was back. So they shared the next crashes as well, until the innocent one was given up.
TEST(IsolationWait, doesNotPlaceSuspectsTogetherAfterAllWorkersWereDown)
{
    constexpr Milliseconds Second {1'000};
    SchedulerHarness harness;
    harness.addWorker("a", 4'000, 8'000);
    harness.workers.setRecovery("a", {FakeWorkers::Recovery::Identity::SameName, Second * 4});
    harness.advance(Second);
    StepSpecification step;
    step.demand = {1'000, 500, 0};
    step.estimate = Second;
    step.longRunning = true;
    harness.submit("left", {step}, {Second, 0, true});
    harness.submit("right", {step}, {Second, 0, true});
    harness.advance(Second / 10);
    ASSERT_EQ(harness.workers.runningCount(), 2U);
    harness.workers.crash("a");
    for (int i = 0; i < 500 && harness.workers.runningCount() == 0; ++i) {
        harness.advance(Milliseconds(20));
    }
    EXPECT_EQ(harness.workers.runningCount(), 1U);
    harness.advance(Second);
    EXPECT_EQ(harness.workers.runningCount(), 1U);
    // They must not wait for ever if there is no other worker.
    harness.advance(Second);
    EXPECT_EQ(harness.workers.runningCount(), 2U);
}

}
