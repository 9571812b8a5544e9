#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// Guards against an endless sequence of placement rounds while workers for only some members of a gang are free.
TEST(GangPlacement, waitsForTheMissingWorker)
{
    constexpr Milliseconds Second {1'000};
    SchedulerHarness harness;
    harness.addWorker("a", 4'000, 8'000);
    harness.advance(Second);
    StepSpecification gang;
    gang.count = 2;
    gang.demand = {3'000, 1'000, 0};
    gang.estimate = Second;
    gang.gang = true;
    harness.submit("gang", {gang}, {Second, 0, false});
    harness.advance(Second);
    EXPECT_EQ(harness.jobs().workers().at("a").used, Resources());
    harness.addWorker("b", 4'000, 8'000);
    harness.advance(Second * 3);
    EXPECT_TRUE(harness.durationOf("gang").has_value());
}

// Members that shared a crash were kept apart for ever, so a gang that needs both on one worker waited without end.
TEST(GangPlacement, startsAgainOnTheSameWorkerAfterACrash)
{
    constexpr Milliseconds Second {1'000};
    SchedulerHarness harness;
    harness.addWorker("a", 4'000, 8'000);
    harness.workers.setRecovery("a", {});
    harness.advance(Second);
    StepSpecification gang;
    gang.count = 2;
    gang.demand = {2'000, 1'000, 0};
    gang.estimate = Second;
    gang.gang = true;
    harness.submit("gang", {gang}, {Second, 0, false});
    harness.advance(Second / 10);
    harness.workers.crash("a");
    harness.advance(Second * 40);
    EXPECT_TRUE(harness.durationOf("gang").has_value());
}

}
