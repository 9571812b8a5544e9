#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr std::int64_t Core = 1'000;
constexpr std::int64_t Memory = 64'000;

StepSpecification lastingStep(int count, std::int64_t milliCores)
{
    StepSpecification step;
    step.count = count;
    step.demand = {milliCores, 500, 0};
    step.estimate = Second;
    step.longRunning = true;
    return step;
}

// A worker that is full, and long-running jobs that wait for it.
class LongRunningOrder : public testing::Test
{
protected:
    LongRunningOrder()
    {
        m_harness.addWorker("worker", 3 * Core, Memory);
        m_harness.advance(Second);
        submit("first", 1, 3 * Core);
        submit("large", 1, 3 * Core);
        submit("small", 3, Core);
    }

    void submit(const std::string &id, int count, std::int64_t milliCores)
    {
        FakeWorkers::Behaviour behaviour {Second, 0, true};
        behaviour.demand = {milliCores, 500, 0};
        m_harness.submit(id, {lastingStep(count, milliCores)}, behaviour);
        m_harness.advance(Second);
    }

    [[nodiscard]] int runningOf(const std::string &id) const
    {
        const std::vector<TaskState> &tasks = m_harness.jobs().find(id)->occurrences.at(0).steps[0].tasks;
        return static_cast<int>(std::count_if(
            tasks.begin(), tasks.end(), [](const TaskState &task) { return task.phase == RunPhase::Running; }));
    }

    SchedulerHarness m_harness;
};

}

// Small tasks waited for tens of seconds while each gap that opened went to a larger task of a job accepted earlier.
TEST_F(LongRunningOrder, startsTheMostTasksInAGap)
{
    ASSERT_EQ(runningOf("first"), 1);
    m_harness.cancel("first");
    m_harness.advance(Second);
    EXPECT_EQ(runningOf("small"), 3);
    EXPECT_EQ(runningOf("large"), 0);
}

// The gap of another partition was asked for in the order of acceptance as well.
TEST_F(LongRunningOrder, looksElsewhereForTheSmallestTasksFirst)
{
    const std::vector<UnplacedStep> steps = m_harness.jobs().unplacedLongRunning();
    ASSERT_EQ(steps.size(), 2U);
    EXPECT_EQ(steps[0].job, "small");
    EXPECT_EQ(steps[1].job, "large");
}

}
