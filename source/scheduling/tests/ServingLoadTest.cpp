#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

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

}
