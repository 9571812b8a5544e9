#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster whose workers restart under their names, which the owner learns late.
class WorkerRestart : public testing::Test
{
protected:
    WorkerRestart()
    {
        m_cluster.advance(Second * 2);
    }

    void submit(const std::string &id, FakeWorkers::Behaviour behaviour)
    {
        m_cluster.workers.setBehaviour(id, std::move(behaviour));
        m_cluster.owner()->router.submit(
            TestCluster::job(id, 1, 1), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }

    // The owner reads the reports of all workers so late.
    void delayReports(Milliseconds delay)
    {
        for (int i = 0; i < TestCluster::WorkerCount; ++i) {
            m_cluster.owner()->gateway.reportDelays[m_cluster.workerName(i)] = delay;
        }
    }

    void restartWorkers()
    {
        for (int i = 0; i < TestCluster::WorkerCount; ++i) {
            m_cluster.workers.restart(m_cluster.workerName(i));
        }
    }

    void setDowntime(Milliseconds downtime)
    {
        for (int i = 0; i < TestCluster::WorkerCount; ++i) {
            m_cluster.workers.setRecovery(
                m_cluster.workerName(i), {FakeWorkers::Recovery::Identity::SameName, downtime});
        }
    }

    // Lets time pass until the job's task has been started so often, at most for the given time.
    void advanceToStart(const std::string &id, std::size_t count, Milliseconds longest)
    {
        constexpr Milliseconds Step {20};
        for (Milliseconds passed {0}; passed < longest && starts(id) < count; passed += Step) {
            m_cluster.advance(Step);
        }
    }

    [[nodiscard]] const TaskState &task(const std::string &id)
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find(id)->occurrences.at(0).steps[0].tasks[0];
    }

    [[nodiscard]] std::size_t starts(const std::string &id) const
    {
        return m_cluster.workers.startCount({id, 0, 0, 0});
    }

    TestCluster m_cluster;
};

// The parameter is the time from the start of earlier jobs on until the reports are delayed, in milliseconds.
class WorkerRestartAfter : public WorkerRestart, public testing::WithParamInterface<int>
{
};

}

TEST_F(WorkerRestart, givesTheTaskOfAWorkerAwayThatRestartedAndIsLost)
{
    setDowntime(Second * 3'600);
    m_cluster.owner()->gateway.loseAnswers = 1;
    submit("job", {Second * 5, 0, false});
    advanceToStart("job", 1, Second);
    const std::string worker = task("job").worker;
    m_cluster.workers.restart(worker);
    m_cluster.listAllWorkersExcept({});
    m_cluster.workers.crash(worker);
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The list of workers shows the restart before the delayed reports do.
TEST_F(WorkerRestart, keepsARunThatStartedBeforeTheRestartWasListed)
{
    delayReports(Milliseconds(1'500));
    restartWorkers();
    submit("job", {Milliseconds(1'300), 0, false});
    m_cluster.advance(Second * 6);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(starts("job"), 1U);
    EXPECT_TRUE(task("job").crashes.isEmpty());
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The first report that shows the restart lists the run.
TEST_F(WorkerRestart, keepsARunThatTheFirstReportOfTheNextIncarnationLists)
{
    delayReports(Milliseconds(300));
    m_cluster.advance(Milliseconds(120));
    restartWorkers();
    submit("job", {Milliseconds(1'300), 0, false});
    m_cluster.advance(Second * 6);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(starts("job"), 1U);
    EXPECT_TRUE(task("job").crashes.isEmpty());
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_F(WorkerRestart, sendsNoStartASecondTimeToAWorkerThatMayHaveCrashedUnderIt)
{
    setDowntime(Milliseconds(20));
    delayReports(Second);
    FakeWorkers::Behaviour behaviour;
    behaviour.crash = FakeWorkers::Crash {Milliseconds(0), {}};
    submit("job", behaviour);
    advanceToStart("job", 1, Second);
    m_cluster.advance(Milliseconds(800));
    EXPECT_EQ(starts("job"), 1U);
    EXPECT_EQ(m_cluster.workers.crashesUnder({"job", 0, 0, 0}), 1);
}

// The ends of a former incarnation are read and recorded when the next one has already ended a run.
TEST_P(WorkerRestartAfter, forgetsNoEndOfAnIncarnationThatItDoesNotKnow)
{
    for (int i = 0; i < 3; ++i) {
        submit("earlier-" + std::to_string(i), {Milliseconds(300), 0, false});
    }
    advanceToStart("earlier-2", 1, Second);
    m_cluster.advance(Milliseconds(GetParam()));
    delayReports(Milliseconds(500));
    m_cluster.advance(Milliseconds(120));
    restartWorkers();
    submit("job", {Milliseconds(50), 0, false});
    m_cluster.advance(Second * 6);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(starts("job"), 1U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Milliseconds, WorkerRestartAfter, testing::Range(260, 400, 20));

// The worker restarts before it has carried the start out. It accepts the stop of a run that it does not have, lists no
// end of it, and its reports wait for longer than the owner does until it repeats the stop.
TEST_F(WorkerRestart, startsATaskAgainWhoseStartWasLostWithTheFormerIncarnation)
{
    m_cluster.owner()->gateway.longestWait = Second * 2;
    m_cluster.owner()->gateway.lateOrders = 1;
    submit("job", {Second, 0, false});
    m_cluster.advance(Milliseconds(200));
    ASSERT_EQ(starts("job"), 0U);
    restartWorkers();
    m_cluster.advance(Second * 10);
    EXPECT_EQ(starts("job"), 1U);
}

}
