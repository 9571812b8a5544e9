#include "HandOverFixture.h"

namespace Wagtail
{

namespace
{

// A cluster in which owners change around outages of the store.
class OutageHandOver : public HandOver
{
protected:
    // The store answers no instance, and each of them knows that it answers none of the others either.
    void beginOutage()
    {
        setOutage(true);
    }

    void endOutage()
    {
        setOutage(false);
    }

    // Ends the owner without notice, lets the store answer again and starts the owner again. The platform lists the
    // given worker only after the new process has taken over.
    void replaceOwnerAsTheOutageEnds(const std::string &unlistedWorker)
    {
        const int number = m_cluster.owner()->self.name.back() - '0';
        m_cluster.kill(number);
        endOutage();
        m_cluster.start(number);
        m_cluster.listAllWorkersExcept({unlistedWorker});
        m_cluster.advance(Second * 2);
        m_cluster.listAllWorkersExcept({});
    }

    // Returns the worker that was given the task's current run, or an empty text.
    [[nodiscard]] std::string workerOf(const std::string &job)
    {
        return jobs().find(job)->occurrences.at(0).steps[0].tasks[0].worker;
    }

private:
    void setOutage(bool isOut)
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->store.down = isOut;
                instance->ownership.setStoreOutage(isOut);
            }
        }
    }
};

}

// The last owner started the task on a new worker while the store was away, and the platform lists that worker to its
// successor only after all others have answered.
TEST_F(OutageHandOver, runsATaskOnceIfItStartedDuringTheOutageOnAWorkerThatIsListedLate)
{
    m_cluster.workers.setBehaviour("wide", {Milliseconds(2'000), 0, false});
    JobRecord wide = TestCluster::job("wide", 1, TestCluster::WorkerCount);
    wide.specification.steps[0].demand = {4'000, 500, 0};
    m_cluster.owner()->router.submit(wide, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Milliseconds(200));
    submitFullSize("job", 1);
    ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 0U);
    beginOutage();
    addWorker("worker-4");
    m_cluster.advance(Second);
    replaceOwnerAsTheOutageEnds("worker-4");
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_GE(m_cluster.workers.startCount(FirstTask), 1U);
}

// The store is away twice, and an owner takes over in between, when the entries of all workers have lapsed. It may use
// the workers that its predecessor recorded in the second outage, and its successor has to know of them.
TEST_F(OutageHandOver, runsATaskOnceIfItsOwnerTookOverBetweenTwoOutages)
{
    submitToEachWorker("first", Milliseconds(300));
    m_cluster.advance(Second);
    const int number = m_cluster.owner()->self.name.back() - '0';
    m_cluster.kill(number);
    m_cluster.start(number);
    m_cluster.listAllWorkersExcept({"worker-0", "worker-1", "worker-2", "worker-3"});
    m_cluster.advance(Second);
    ASSERT_NE(m_cluster.owner(), nullptr);
    submitFullSize("job", 1);
    ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 0U);
    beginOutage();
    m_cluster.listAllWorkersExcept({});
    m_cluster.advance(Second);
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 1U);
    replaceOwnerAsTheOutageEnds(workerOf("job"));
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 1U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The workers list more ends than one report holds, and the store has none of them yet.
TEST_F(OutageHandOver, runsTasksOnceIfTheFirstReportsLackSomeOfTheirEnds)
{
    m_cluster.workers.mostEndsPerReport = 2;
    m_cluster.workers.setBehaviour("job", {Milliseconds(300), 0, false});
    m_cluster.owner()->router.submit(TestCluster::job("job", 1, TestCluster::WorkerCount * 4),
        m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Milliseconds(200));
    ASSERT_EQ(m_cluster.workers.runningCount(), 16U);
    beginOutage();
    m_cluster.advance(Milliseconds(400));
    ASSERT_EQ(m_cluster.workers.runningCount(), 0U);
    replaceOwnerAsTheOutageEnds({});
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

// The entries of all workers lapsed with the outage. Another partition would take the tasks on although this one has
// room for them as soon as its workers are listed again.
TEST_F(OutageHandOver, delegatesNoTasksBeforeItsWorkersAreListedAgain)
{
    m_cluster.workers.setBehaviour("watch", {Milliseconds(100), 0, true});
    JobRecord watch = TestCluster::job("watch", 1, TestCluster::WorkerCount + 1);
    watch.specification.steps[0].perWorkerLimit = 1;
    watch.specification.steps[0].longRunning = true;
    m_cluster.owner()->router.submit(watch, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Second * 2);
    ASSERT_EQ(jobs().unplacedLongRunning().size(), 1U);
    const int number = m_cluster.owner()->self.name.back() - '0';
    m_cluster.kill(number);
    m_cluster.start(number);
    m_cluster.listAllWorkersExcept({"worker-0", "worker-1", "worker-2", "worker-3"});
    m_cluster.advance(Second * 4);
    EXPECT_EQ(jobs().unplacedLongRunning().size(), 0U);
    m_cluster.listAllWorkersExcept({});
    m_cluster.advance(Second * 2);
    EXPECT_EQ(jobs().unplacedLongRunning().size(), 1U);
}

}
