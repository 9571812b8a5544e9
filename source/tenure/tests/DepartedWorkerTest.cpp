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

}
