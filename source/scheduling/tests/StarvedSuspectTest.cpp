#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
// Too high for a cautious probe, with headroom for an overdue one.
constexpr std::int64_t TwoThirdsOfTarget = 32;
// Shorter than a task that may have crashed its worker waits for one without others of that kind.
constexpr Milliseconds LongestWait {5'000};

}

// A job that may have crashed its worker is kept off another one that may have. While it waited, it covered all other
// jobs of its image, which could have started.
TEST(StarvedSuspect, coversNoOtherJobsOfItsImage)
{
    SchedulerHarness harness;
    harness.addWorker("worker", ServingWorkers::WorkerMilliCores, 64'000);
    harness.advance(Second / 2);
    const Instant risesAt = harness.clock.now() + Second * 4;
    StepSpecification serving;
    serving.demand = {13'000, 1'000, 0};
    serving.longRunning = true;
    serving.image = "pump";
    serving.tailTarget = Milliseconds(ServingWorkers::TargetMilliseconds);
    harness.submit("watch", {serving}, {Second, 0, true, [&risesAt](Instant now) {
                                            return now < risesAt ? ServingWorkers::IdleTail : TwoThirdsOfTarget;
                                        }});
    harness.advance(Second * 2);
    const FakeWorkers::Behaviour work = ServingWorkers::workFor(Second * 60, 7'000);
    StepSpecification filling = ServingWorkers::fillingStep(1);
    filling.estimate = Second * 60;
    harness.submit("suspect", {filling}, work);
    harness.advance(Second / 10);
    ASSERT_EQ(harness.workers.runningCount(), 2U);
    harness.workers.crash("worker");
    for (int i = 0; i < 800 && harness.workers.runningCount() == 0; ++i) {
        harness.advance(Milliseconds(20));
    }
    ASSERT_EQ(harness.workers.runningCount(), 1U);
    // Until the serving task has reported, nothing speaks against a task beside it.
    harness.advance(Second * 2);
    harness.submit("innocent", {filling}, work);
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"innocent", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
