#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
// Callers expect an accepted job to run this long after it could.
constexpr Milliseconds LongestWait {14'000};
constexpr std::int64_t CloseToTarget = 48;
constexpr std::int64_t OverTarget = 70;

// Returns whether a backfilling job is started beside serving tasks whose tail latency it does not change.
bool startsBesideTail(std::int64_t tail)
{
    ServingWorkers workers([tail](Instant) { return tail; });
    SchedulerHarness &harness = workers.harness;
    harness.submit("filling", {ServingWorkers::fillingStep(1)}, {Second * 2, 0, false, [](Instant) {
                                                                     return 7'000;
                                                                 }});
    harness.advance(LongestWait);
    return harness.workers.startCount({"filling", 0, 0, 0}) > 0;
}

}

// A probe needs headroom, which serving tasks that are busy by themselves leave on no worker for as long as they are.
TEST(ServingLoad, keepsNoJobOutWhileItStaysCloseToTheTarget)
{
    EXPECT_TRUE(startsBesideTail(CloseToTarget));
}

// A serving task over its target closes its worker, also when no backfilling task runs there that could be the cause.
TEST(ServingLoad, keepsNoJobOutWhileItStaysOverTheTarget)
{
    EXPECT_TRUE(startsBesideTail(OverTarget));
}

// A probe that works in trials only must still get its job done.
TEST(ServingLoad, letsAJobEndWhileItStaysOverTheTarget)
{
    ServingWorkers workers([](Instant) { return OverTarget; });
    workers.harness.submit("filling", {ServingWorkers::fillingStep(1)}, ServingWorkers::workFor(Second * 2, 7'000));
    workers.harness.advance(Second * 60);
    EXPECT_TRUE(workers.harness.durationOf("filling").has_value());
    EXPECT_EQ(workers.harness.workers.violations(), std::vector<std::string>());
}

// Probes must not do harm beside a serving task that is close to its target by itself, and that they do disturb. The
// platform calls it harm when the task is over its target for four seconds because of them.
TEST(ServingLoad, isNotKeptOverTheTargetByProbes)
{
    constexpr Milliseconds HarmTime {4'000};
    constexpr int JobCount = 12;
    SchedulerHarness harness;
    harness.addWorker("worker", ServingWorkers::WorkerMilliCores, 64'000);
    harness.advance(Second / 2);
    const Instant risesAt = harness.clock.now() + Second * 2;
    Instant undisturbedAt;
    Milliseconds longestDisturbed {0};
    StepSpecification serving;
    serving.demand = {13'000, 1'000, 0};
    serving.longRunning = true;
    serving.image = "pump";
    serving.tailTarget = Milliseconds(ServingWorkers::TargetMilliseconds);
    harness.submit("watch", {serving}, {Second, 0, true, [&](Instant now) {
                                            int working = 0;
                                            for (int i = 0; i < JobCount; ++i) {
                                                working += harness.workers.workingCount("filling-" + std::to_string(i));
                                            }
                                            undisturbedAt = working == 0 ? now : undisturbedAt;
                                            longestDisturbed = std::max(longestDisturbed,
                                                std::chrono::duration_cast<Milliseconds>(now - undisturbedAt));
                                            const std::int64_t risen = working > 0 ? OverTarget : CloseToTarget;
                                            return now < risesAt ? ServingWorkers::IdleTail : risen;
                                        }});
    harness.advance(Second * 3);
    for (int i = 0; i < JobCount; ++i) {
        harness.submit("filling-" + std::to_string(i), {ServingWorkers::fillingStep(1)},
            ServingWorkers::workFor(Second * 20, 7'000));
    }
    harness.advance(Second * 60);
    EXPECT_GT(harness.workers.startCount({"filling-0", 0, 0, 0}), 0U);
    EXPECT_LT(longestDisturbed, HarmTime / 2);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
