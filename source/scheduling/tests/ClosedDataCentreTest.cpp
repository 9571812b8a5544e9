#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
const TaskName OnlyTask {"job", 0, 0, 0};

StepSpecification oneTask()
{
    StepSpecification step;
    step.count = 1;
    step.demand = {1'000, 500, 0};
    step.estimate = Second;
    return step;
}

}

// Operators close a data centre before work on it, so tasks that start there would be lost.
TEST(ClosedDataCentre, getsNoNewTasksUntilItIsOpenAgain)
{
    SchedulerHarness harness;
    harness.addWorker("worker", 4'000, 8'000);
    harness.advance(Second);
    harness.setWorkerClosed("worker", true);
    harness.submit("job", {oneTask()}, {Second, 0, false});
    harness.advance(Second * 5);
    EXPECT_EQ(harness.workers.startCount(OnlyTask), 0U);
    harness.setWorkerClosed("worker", false);
    harness.advance(Second * 2);
    EXPECT_EQ(harness.durationOf("job").has_value(), true);
}

// Unlike a draining worker, one of a closed data centre stays, so its tasks need not lose their work.
TEST(ClosedDataCentre, keepsItsRunningTasks)
{
    SchedulerHarness harness;
    harness.addWorker("worker", 4'000, 8'000);
    harness.addWorker("other", 4'000, 8'000);
    harness.advance(Second);
    StepSpecification step = oneTask();
    step.longRunning = true;
    harness.submit("job", {step}, {Second, 0, true});
    harness.advance(Second);
    const std::string worker = harness.jobs().find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    harness.setWorkerClosed(worker, true);
    harness.advance(Second * 5);
    EXPECT_EQ(harness.workers.startCount(OnlyTask), 1U);
    EXPECT_EQ(harness.jobs().find("job")->occurrences.at(0).steps[0].tasks[0].worker, worker);
}

// Tasks that wait for room beside a closed data centre must go to those that are open.
TEST(ClosedDataCentre, leavesTasksToOtherWorkers)
{
    SchedulerHarness harness;
    harness.addWorker("closed", 64'000, 64'000);
    harness.addWorker("open", 4'000, 8'000);
    harness.advance(Second);
    harness.setWorkerClosed("closed", true);
    StepSpecification step = oneTask();
    step.count = 8;
    harness.submit("job", {step}, {Second, 0, false});
    harness.advance(Milliseconds(500));
    for (const TaskState &task : harness.jobs().find("job")->occurrences.at(0).steps[0].tasks) {
        EXPECT_NE(task.worker, "closed");
    }
    harness.advance(Second * 4);
    EXPECT_TRUE(harness.durationOf("job").has_value());
}

}
