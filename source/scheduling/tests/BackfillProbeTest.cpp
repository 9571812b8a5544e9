#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr std::int64_t HalfOfTarget = 25;
constexpr std::int64_t OverTarget = 70;
// The platform calls it harm when a serving task is over its target for this long because of backfilling tasks.
constexpr Milliseconds HarmTime {4'000};

WorkerState workerWithServing(std::vector<ServingSample> serving)
{
    WorkerState worker;
    worker.serving = std::move(serving);
    return worker;
}

}

// An untested guess of the interference ruled out all workers for good, although no serving task was over half of its
// target and four fifths of the processors were unused.
TEST(BackfillProbe, startsATaskThatNoWorkerWouldTake)
{
    ServingWorkers workers([](Instant) { return HalfOfTarget; });
    workers.harness.submit("filling", {ServingWorkers::fillingStep(4)}, {Second * 3, 0, false, [](Instant) {
                                                                             return 7'000;
                                                                         }});
    workers.harness.advance(Second * 14);
    const std::optional<Milliseconds> duration = workers.harness.durationOf("filling");
    ASSERT_TRUE(duration.has_value());
    EXPECT_LT(*duration, Second * 12);
    EXPECT_EQ(workers.harness.workers.violations(), std::vector<std::string>());
}

// Tasks that would really disturb start as probes too, and must be paused long before the platform calls it harm.
TEST(BackfillProbe, pausesAProbeThatDisturbsBeforeItDoesHarm)
{
    SchedulerHarness *harness = nullptr;
    Instant withinTargetAt;
    Milliseconds longestOver {0};
    const ServingWorkers::TailAt tail = [&](Instant now) {
        const bool disturbed = harness != nullptr && harness->workers.workingCount("filling") > 0;
        if (!disturbed) {
            withinTargetAt = now;
        } else {
            longestOver = std::max(longestOver, std::chrono::duration_cast<Milliseconds>(now - withinTargetAt));
        }
        return disturbed ? OverTarget : HalfOfTarget;
    };
    ServingWorkers workers(tail);
    harness = &workers.harness;
    harness->submit("filling", {ServingWorkers::fillingStep(1)}, {Second * 60, 0, false, [](Instant) {
                                                                      return 7'000;
                                                                  }});
    harness->advance(Second * 60);
    EXPECT_GT(harness->workers.startCount({"filling", 0, 0, 0}), 0);
    EXPECT_LT(harness->workers.startCount({"filling", 0, 0, 0}), 10);
    EXPECT_LT(longestOver, HarmTime / 2);
    EXPECT_EQ(harness->workers.violations(), std::vector<std::string>());
}

TEST(BackfillProbe, waitsForAWhileBeforeItGoesFurther)
{
    EXPECT_EQ(probeKindAfter(Second), std::nullopt);
    EXPECT_EQ(probeKindAfter(Second * 4), ProbeKind::Cautious);
    EXPECT_EQ(probeKindAfter(Second * 9), ProbeKind::Overdue);
}

TEST(BackfillProbe, usesEnoughToLearnFrom)
{
    EXPECT_EQ(probeSpeed(0.16), 50);
    EXPECT_EQ(probeSpeed(0.05), 100);
    EXPECT_EQ(probeSpeed(0.9), 15);
    EXPECT_EQ(probeSpeed(0.0), 100);
}

TEST(BackfillProbe, keepsAwayFromServingTasksNearTheirTarget)
{
    BackfillInterferenceModel model;
    const ImageId pump = model.idOf("pump");
    const ImageId batch = model.idOf("batch");
    const WorkerState near = workerWithServing({{pump, 0.78, 0.8, 0}});
    EXPECT_EQ(probeExcessLoad(model, near, batch, 0.1, ProbeKind::Overdue), std::nullopt);
    const WorkerState over = workerWithServing({{pump, 0.5, 0.8, 400}});
    EXPECT_EQ(probeExcessLoad(model, over, batch, 0.1, ProbeKind::Overdue), std::nullopt);
    const WorkerState below = workerWithServing({{pump, 0.72, 0.8, 0}});
    EXPECT_EQ(probeExcessLoad(model, below, batch, 0.1, ProbeKind::Cautious), std::nullopt);
    EXPECT_NE(probeExcessLoad(model, below, batch, 0.1, ProbeKind::Overdue), std::nullopt);
    const WorkerState quiet = workerWithServing({{pump, 0.6, 0.8, 0}});
    EXPECT_NE(probeExcessLoad(model, quiet, batch, 0.1, ProbeKind::Cautious), std::nullopt);
}

// The effects of two probes on the same serving task could not be told apart.
TEST(BackfillProbe, isTheOnlyOneOnItsWorker)
{
    BackfillInterferenceModel model;
    TaskState probe;
    probe.isProbe = true;
    WorkerState worker = workerWithServing({});
    EXPECT_NE(probeExcessLoad(model, worker, model.idOf("batch"), 0.1, ProbeKind::Cautious), std::nullopt);
    worker.tasks.insert(&probe);
    EXPECT_EQ(probeExcessLoad(model, worker, model.idOf("batch"), 0.1, ProbeKind::Cautious), std::nullopt);
}

// In a pool that is mostly in use, tasks wait for room. Probes would only disturb there.
TEST(BackfillProbe, needsAPoolThatIsHalfUnused)
{
    std::map<std::string, WorkerState> workers;
    for (const std::string pool : {"full", "empty"}) {
        WorkerState &worker = workers[pool];
        worker.listing.pool = pool;
        worker.listing.capacity = {4'000, 4'000, 0};
        worker.listed = true;
        worker.hasAnswered = true;
        worker.expectedMilliCores = pool == "full" ? 2'500 : 1'500;
    }
    EXPECT_EQ(poolsWithRoomForProbes(workers, Instant()), std::set<std::string> {"empty"});
}

// A single low figure made the load of a serving task look high for good.
TEST(BackfillInterferenceModel, followsTailsThatStayAboveTheLowestOne)
{
    BackfillInterferenceModel model;
    const ImageId pump = model.idOf("pump");
    Instant now;
    model.observeTail(pump, 1, now);
    EXPECT_GT(model.observeTail(pump, 20, now), 0.9);
    double load = 0.0;
    for (int i = 0; i < 150; ++i) {
        now += Second;
        load = model.observeTail(pump, 20, now);
    }
    EXPECT_LT(load, 0.3);
}

// Within a minute, a lower tail latency still counts, so that swings of the load are not taken for the undisturbed
// tail.
TEST(BackfillInterferenceModel, keepsTheLowestTailForAMinute)
{
    BackfillInterferenceModel model;
    const ImageId pump = model.idOf("pump");
    model.observeTail(pump, 10, Instant());
    EXPECT_GT(model.observeTail(pump, 40, Instant(Second * 59)), 0.7);
    EXPECT_GT(model.observeTail(pump, 40, Instant(Second * 61)), 0.7);
}

// A task that was paused on one worker after another never worked.
TEST(RequeuePausedTasks, keepsTasksThatHaveNotWorkedForSeconds)
{
    const RequeuePausedTasks policy;
    EXPECT_TRUE(policy.shouldRequeue({Milliseconds(400), true, 5, Second}));
    EXPECT_FALSE(policy.shouldRequeue({Milliseconds(400), true, 5, Second * 4}));
}

}
