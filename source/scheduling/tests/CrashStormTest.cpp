#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr int Workers = 6;
constexpr int Watchers = 4;
constexpr int Culprits = 8;

StepSpecification step(int count)
{
    StepSpecification step;
    step.count = count;
    step.demand = {1'000, 500, 0};
    step.estimate = Second;
    return step;
}

}

// Seen on a bench: long-running tasks were given up because many tasks beside them crashed their workers.
TEST(CrashStorm, givesUpTheCulpritsAndNoTaskBesideThem)
{
    SchedulerHarness harness;
    for (int i = 0; i < Workers; ++i) {
        harness.addWorker("worker-" + std::to_string(i), 4'000, 8'000);
    }
    harness.advance(Second);
    for (int i = 0; i < Watchers; ++i) {
        StepSpecification watching = step(3);
        watching.longRunning = true;
        harness.submit("watcher-" + std::to_string(i), {watching}, {Second, 0, true});
    }
    harness.advance(Second * 15);
    FakeWorkers::Behaviour crashing {Second, 0, false};
    crashing.crash = FakeWorkers::Crash {Milliseconds(10), {}};
    for (int i = 0; i < Culprits; ++i) {
        harness.submit("culprit-" + std::to_string(i), {step(1)}, crashing);
        harness.submit("batch-" + std::to_string(i), {step(2)}, {Second, 0, false});
        harness.advance(Second);
    }
    harness.advance(Second * 60);
    for (int i = 0; i < Culprits; ++i) {
        const std::string number = std::to_string(i);
        EXPECT_EQ(harness.jobs().find("culprit-" + number)->phase, JobPhase::Failed) << i;
        EXPECT_LE(harness.workers.startCount({"culprit-" + number, 0, 0, 0}), 5U) << i;
        EXPECT_EQ(harness.jobs().find("batch-" + number)->phase, JobPhase::Done) << i;
    }
    for (int i = 0; i < Watchers; ++i) {
        EXPECT_EQ(harness.jobs().find("watcher-" + std::to_string(i))->phase, JobPhase::Running) << i;
    }
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
