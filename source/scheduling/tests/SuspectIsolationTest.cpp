#include "scheduling/SuspectIsolation.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class SuspectIsolationTest : public testing::Test
{
protected:
    SuspectIsolationTest()
    {
        m_task.crashes.addCrash(1, {"worker", CrashTiming::Prompt});
    }

    [[nodiscard]] std::optional<double> cost(IsolationStrictness strictness = IsolationStrictness::Required) const
    {
        return isolationCost(m_task, m_worker, strictness);
    }

    TaskState m_task;
    TaskState m_other;
    WorkerState m_worker;
};

}

TEST_F(SuspectIsolationTest, prefersWorkersWithFewOtherTasks)
{
    EXPECT_EQ(cost(), 0.0);
    m_worker.tasks = {&m_task};
    EXPECT_EQ(cost(), 0.0);
    m_worker.tasks = {&m_other};
    EXPECT_GT(cost().value_or(0.0), 0.0);
}

TEST_F(SuspectIsolationTest, keepsTwoSuspectsApartUntilOneHasWaitedTooLong)
{
    m_other.crashes.addCrash(1, {"worker", CrashTiming::Unknown});
    m_worker.tasks = {&m_other};
    EXPECT_EQ(cost(), std::nullopt);
    EXPECT_GT(cost(IsolationStrictness::Preferred).value_or(0.0), 0.0);
}

// Twenty tasks may lose their worker in one crash; if all of them needed a worker of their own, many would wait.
TEST_F(SuspectIsolationTest, doesNotKeepTasksApartThatRanForLongBeforeTheCrash)
{
    m_other.crashes.addCrash(1, {"worker", CrashTiming::Late});
    m_worker.tasks = {&m_other};
    EXPECT_NE(cost(), std::nullopt);
}

TEST_F(SuspectIsolationTest, doesNotConcernTasksWithoutCrash)
{
    m_task.crashes.clear();
    m_other.crashes.addCrash(1, {"worker", CrashTiming::Prompt});
    m_worker.tasks = {&m_other};
    EXPECT_EQ(cost(), 0.0);
}

}
