#include "scheduling/RequeuePausedTasks.h"
#include "testing/ServingWorkers.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr std::int64_t CloseToTarget = 49;
constexpr std::int64_t OverTarget = 70;
constexpr int WorkerCount = 4;
constexpr Milliseconds HalfSwing {2'000};

StepSpecification servingStep(const std::string &image)
{
    StepSpecification step;
    step.demand = {13'000, 1'000, 0};
    step.longRunning = true;
    step.image = image;
    step.tailTarget = Milliseconds(ServingWorkers::TargetMilliseconds);
    return step;
}

std::string workerOf(const SchedulerHarness &harness, const std::string &job)
{
    return harness.jobs().find(job)->occurrences.at(0).steps[0].tasks[0].worker;
}

FakeWorkers::Behaviour workFor(Milliseconds duration)
{
    return {duration, 0, false, [](Instant) {
                return 7'000;
            }};
}

}

// A task without checkpoints that had come far stayed paused on its worker for good, while all others were idle.
TEST(PausedTask, leavesAWorkerWhoseServingTaskStaysOverItsTarget)
{
    SchedulerHarness harness;
    std::string busyWorker;
    for (int i = 0; i < WorkerCount; ++i) {
        harness.addWorker("worker-" + std::to_string(i), 64'000, 64'000);
    }
    harness.advance(Second / 2);
    for (int i = 0; i < WorkerCount; ++i) {
        const std::string id = "watch-" + std::to_string(i);
        const auto tail = [&harness, &busyWorker, id](Instant) {
            return workerOf(harness, id) == busyWorker ? OverTarget : ServingWorkers::IdleTail;
        };
        harness.submit(id, {servingStep("pump-" + std::to_string(i))}, {Second, 0, true, tail});
    }
    harness.advance(Second * 3);
    harness.submit("filling", {ServingWorkers::fillingStep(1)}, workFor(Second * 10));
    harness.advance(Second * 6);
    busyWorker = workerOf(harness, "filling");
    ASSERT_FALSE(busyWorker.empty());
    harness.advance(Second * 60);
    EXPECT_TRUE(harness.durationOf("filling").has_value());
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

// A task whose work was lost with each pause began anew every four seconds and never ended.
TEST(PausedTask, endsBesideAServingLoadThatSwings)
{
    constexpr std::int64_t Disturbed = 14;
    const SchedulerHarness *harness = nullptr;
    ServingWorkers workers([&harness](Instant now) {
        const bool isLow = (now.time_since_epoch() / HalfSwing) % 2 == 0;
        const bool isDisturbed = harness != nullptr && harness->workers.workingCount("filling") > 0;
        const std::int64_t low = isDisturbed ? Disturbed : ServingWorkers::IdleTail;
        return isLow ? low : CloseToTarget;
    });
    harness = &workers.harness;
    workers.harness.submit("filling", {ServingWorkers::fillingStep(1)}, workFor(Second * 20));
    workers.harness.advance(Second * 120);
    EXPECT_TRUE(workers.harness.durationOf("filling").has_value());
    EXPECT_EQ(workers.harness.workers.violations(), std::vector<std::string>());
}

// Each single loss was small, but nothing bounded their sum.
TEST(RequeuePausedTasks, countsWhatEarlierRunsHaveLost)
{
    const RequeuePausedTasks policy;
    EXPECT_TRUE(policy.shouldRequeue({Milliseconds(400), false, 10, Second, false, 0}));
    EXPECT_FALSE(policy.shouldRequeue({Milliseconds(400), false, 10, Second, false, 10}));
    EXPECT_TRUE(policy.shouldRequeue({Milliseconds(400), true, 10, Second, false, 10}));
}

}
