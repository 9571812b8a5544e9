#include "HandOverFixture.h"

namespace Wagtail
{

// A worker that drains may leave when the former owner has handed over and the new one has not heard it yet. What the
// workers run must not wait for more than the leases that the former owner had granted.
TEST_F(HandOver, restartsTasksOfADrainingWorkerThatLeavesDuringAHandOverOnceItsLeasesHaveExpired)
{
    m_cluster.advance(Second * 2);
    submitFullSize("job", TestCluster::WorkerCount);
    const std::string worker = jobs().find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    drain(worker);
    m_cluster.advance(Second);
    m_cluster.owner()->ownership.release([] {});
    lose(worker);
    m_cluster.advance(Second);
    addWorker("worker-4");
    m_cluster.advance(Milliseconds(1'800));
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// One task waits and another one left with its worker. Only the latter may run there, and each hand-over held back both
// for that worker's leases.
TEST_F(HandOver, holdsBackOnlyTheTasksOfAWorkerThatLeft)
{
    m_cluster.advance(Second * 2);
    const TaskName lost {"wide", 0, 0, 0};
    submitFullSize("wide", TestCluster::WorkerCount);
    const std::string worker = jobs().find("wide")->occurrences.at(0).steps[0].tasks[0].worker;
    submitFullSize("job", 1);
    drain(worker);
    m_cluster.advance(Milliseconds(500));
    lose(worker);
    m_cluster.advance(Milliseconds(300));
    for (int i = 0; i < 2; ++i) {
        m_cluster.owner()->ownership.release([] {});
        m_cluster.advance(Milliseconds(60));
        for (int step = 0; step < 50 && m_cluster.owner() == nullptr; ++step) {
            m_cluster.advance(Milliseconds(20));
        }
        ASSERT_NE(m_cluster.owner(), nullptr);
    }
    ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 0U);
    addWorker("worker-4");
    addWorker("worker-5");
    m_cluster.advance(Milliseconds(500));
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 1U);
    EXPECT_EQ(m_cluster.workers.startCount(lost), 1U) << "its lease has not expired";
    m_cluster.advance(Milliseconds(1'500));
    EXPECT_EQ(m_cluster.workers.startCount(lost), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The owner has moved the task to a worker that the successor does not hear at first. What it has stored states only
// what ran on the worker that left.
TEST_F(HandOver, runsATaskOnceThatMovedFromAWorkerThatLeftToAnUnheardOne)
{
    m_cluster.advance(Second * 2);
    const std::string worker = m_cluster.startLongRunning("job");
    submitToEachWorker("each", Second * 60);
    drain(worker);
    m_cluster.advance(Second);
    ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
    lose(worker);
    cutOff(jobs().find("job")->occurrences.at(0).steps[0].tasks[0].worker);
    m_cluster.owner()->ownership.release([] {});
    m_cluster.advance(Milliseconds(800));
    m_cut.clear();
    applyWorkers();
    m_cluster.advance(Second * 12);
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
