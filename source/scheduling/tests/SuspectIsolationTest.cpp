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
        return isolationCost(m_task, m_worker, {strictness, m_now});
    }

    // Lets the other task be a suspect that was placed and confirmed so long ago.
    void placeSuspect(Milliseconds sincePlacement, std::optional<Milliseconds> sinceStart)
    {
        m_task.crashes.clear();
        m_other.crashes.addCrash(1, {"worker", CrashTiming::Ambiguous});
        m_other.placedAt = m_now - sincePlacement;
        m_other.runConfirmed = sinceStart.has_value();
        m_other.runStartedAt = m_now - sinceStart.value_or(sincePlacement);
        m_worker.tasks = {&m_other};
    }

    const Instant m_now = Instant() + Milliseconds(60'000);
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

// Two late crashes had nearly proven that a task crashes its workers. It crashed the next one beside a task that was
// suspected for another crash: for the one the crash proved nothing any more, and for the other it counted as well.
TEST_F(SuspectIsolationTest, keepsTasksApartIfTheNextCrashWouldProveOneOfThemTheCause)
{
    m_other.crashes.addCrash(1, {"worker", CrashTiming::Late, 7});
    m_worker.tasks = {&m_other};
    EXPECT_NE(cost(), std::nullopt);
    m_other.crashes.addCrash(2, {"worker", CrashTiming::Late, 8});
    EXPECT_EQ(cost(), std::nullopt);
    m_other.crashes.clear();
    for (std::uint64_t run = 1; run <= 3; ++run) {
        m_other.crashes.addCrash(run, {"worker", CrashTiming::LateShared, static_cast<std::int64_t>(run)});
    }
    EXPECT_EQ(cost(), std::nullopt);
}

// Two tasks that lost a worker together shared the next ones as well, and the innocent one was given up.
TEST_F(SuspectIsolationTest, keepsATaskThatRanForLongApartFromASuspectOfTheSameCrash)
{
    m_task.crashes.addCrash(2, {"worker", CrashTiming::Ambiguous, 7});
    m_other.crashes.addCrash(2, {"worker", CrashTiming::LateShared, 7});
    m_worker.tasks = {&m_other};
    EXPECT_EQ(cost(), std::nullopt);
    m_other.crashes.clear();
    m_other.crashes.addCrash(2, {"worker", CrashTiming::LateShared, 8});
    EXPECT_NE(cost(), std::nullopt);
}

// The start of a suspect crashed its worker five times beside tasks that were started on the same worker after it.
TEST_F(SuspectIsolationTest, keepsTasksWithoutCrashOffAWorkerUntilASuspectRunsThere)
{
    placeSuspect(Milliseconds(100), std::nullopt);
    EXPECT_EQ(cost(), std::nullopt);
    EXPECT_GT(cost(IsolationStrictness::Preferred).value_or(0.0), 0.0);
    placeSuspect(Milliseconds(200), Milliseconds(100));
    EXPECT_EQ(cost(), std::nullopt);
    placeSuspect(Milliseconds(400), Milliseconds(300));
    EXPECT_EQ(cost(), 0.0);
    placeSuspect(Milliseconds(1'100), std::nullopt);
    EXPECT_EQ(cost(), 0.0);
}

// Beside a task that has run for long it is plain which one crashed the worker.
TEST_F(SuspectIsolationTest, prefersWorkersWhoseTasksHaveRunForLong)
{
    m_other.runConfirmed = true;
    m_other.runStartedAt = m_now - Milliseconds(1'000);
    m_worker.tasks = {&m_other};
    const std::optional<double> besideFreshTask = cost();
    m_other.runStartedAt = m_now - Milliseconds(30'000);
    EXPECT_LT(cost(), besideFreshTask);
}

TEST_F(SuspectIsolationTest, doesNotConcernTasksWithoutCrash)
{
    m_task.crashes.clear();
    m_other.crashes.addCrash(1, {"worker", CrashTiming::Prompt});
    m_worker.tasks = {&m_other};
    EXPECT_EQ(cost(), 0.0);
}

}
