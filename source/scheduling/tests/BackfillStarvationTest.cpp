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

// The prediction ruled all workers out, and no task corrected it, because backfilling tasks that disturb nobody used
// more than half of the pool.
TEST(BackfillStarvation, startsAJobBesideBusyProcessors)
{
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    SchedulerHarness &harness = workers.harness;
    harness.submit(
        "steady", {ServingWorkers::stepOf("steady", 8, 15'000)}, ServingWorkers::workFor(Second * 60, 15'000));
    harness.advance(Second * 12);
    ASSERT_EQ(harness.workers.workingCount("steady"), 8);
    harness.submit(
        "filling", {ServingWorkers::stepOf("batch", 4, 12'000)}, ServingWorkers::workFor(Second * 2, 12'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

// Backfilling tasks of other jobs used all processors that serving tasks left, one after the other.
TEST(BackfillStarvation, startsAJobBesideProcessorsInFullUse)
{
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    SchedulerHarness &harness = workers.harness;
    harness.submit(
        "steady", {ServingWorkers::stepOf("steady", 8, 28'500)}, ServingWorkers::workFor(Second * 60, 28'500));
    harness.advance(Second * 20);
    ASSERT_EQ(harness.workers.workingCount("steady"), 8);
    harness.submit(
        "filling", {ServingWorkers::stepOf("batch", 4, 12'000)}, ServingWorkers::workFor(Second * 2, 12'000));
    harness.advance(LongestWait);
    EXPECT_GT(harness.workers.startCount({"filling", 0, 0, 0}), 0U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
