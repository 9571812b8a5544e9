#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

StepSpecification longRunningStep(int count, std::int64_t milliCores)
{
    StepSpecification step;
    step.count = count;
    step.demand = {milliCores, 500, 0};
    step.longRunning = true;
    return step;
}

FakeWorkers::Behaviour lasting()
{
    FakeWorkers::Behaviour behaviour;
    behaviour.lasting = true;
    return behaviour;
}

}

// Small tasks of other partitions found no place, because large ones that could not use the gaps were waiting here.
TEST(Headroom, isNotTakenByWaitingTasksThatFitIntoNoGap)
{
    SchedulerHarness harness;
    harness.addWorker("worker", 4'000, 8'000);
    harness.submit("large", {longRunningStep(2, 3'000)}, lasting());
    harness.advance(Milliseconds(1'000));
    const PoolHeadroom headroom = harness.jobs().headrooms().at("pool");
    EXPECT_EQ(headroom.largestGap.milliCores, 1'000);
    EXPECT_EQ(headroom.freeBesideLongRunning, 1'000);
    EXPECT_LT(headroom.freeForBatch, 0);
}

// The worker is about to take the task that waits.
TEST(Headroom, isTakenByWaitingTasksThatFit)
{
    SchedulerHarness harness;
    harness.addWorker("worker", 4'000, 8'000);
    harness.submit("job", {longRunningStep(1, 3'000)}, lasting());
    const PoolHeadroom headroom = harness.jobs().headrooms().at("pool");
    EXPECT_EQ(headroom.freeBesideLongRunning, 1'000);
}

}
