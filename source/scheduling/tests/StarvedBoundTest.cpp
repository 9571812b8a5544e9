#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
// Too high for a cautious probe, with headroom for an overdue one.
constexpr std::int64_t TwoThirdsOfTarget = 32;
constexpr Milliseconds LongestWait {3'000};

}

// A job that could still meet its objective had nothing running for eight seconds, on workers that were mostly unused.
TEST(StarvedBound, startsAJobOnTimeWithinThreeSecondsWhereCapacityIsNotShort)
{
    ServingWorkers workers([](Instant) { return TwoThirdsOfTarget; });
    SchedulerHarness &harness = workers.harness;
    StepSpecification filling = ServingWorkers::fillingStep(4);
    filling.estimate = Second * 60;
    harness.submit("filling", {filling}, ServingWorkers::workFor(Second * 2, 7'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

// Beside serving tasks that ask for more than half of the processors, the job waits longer.
TEST(StarvedBound, findsThePoolsThatAreShortOfCapacity)
{
    std::map<std::string, WorkerState> workers;
    for (const std::string pool : {"full", "empty"}) {
        WorkerState &worker = workers[pool];
        worker.listing.pool = pool;
        worker.listing.capacity = {4'000, 4'000, 0};
        worker.listed = true;
        worker.hasAnswered = true;
        worker.used = {pool == "full" ? 2'500 : 1'500, 1'000, 0};
    }
    EXPECT_EQ(poolsShortOfCapacity(workers, Instant()), std::set<std::string> {"full"});
}

}
