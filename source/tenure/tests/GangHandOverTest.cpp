#include "HandOverFixture.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A hand-over while a job with a gang on all workers, and a step of single tasks after it, is under way.
class GangHandOver : public HandOver
{
protected:
    static constexpr int Members = TestCluster::WorkerCount;

    // Starts the gang, which ends as done while the owner can't reach the store. The owner starts the next step.
    void endGangDuringOutage()
    {
        constexpr int TasksAfterGang = 8;
        m_cluster.workers.setBehaviour("job", {Second, 0, false});
        JobRecord record = TestCluster::job("job", 2, Members);
        StepSpecification &gang = record.specification.steps[0];
        gang.gang = true;
        gang.perWorkerLimit = 1;
        gang.demand = {4'000, 500, 0};
        StepSpecification &next = record.specification.steps[1];
        next.count = TasksAfterGang;
        next.demand = {4'000, 500, 0};
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Milliseconds(700));
        ASSERT_EQ(m_cluster.workers.runningCount(), static_cast<std::size_t>(Members));
        m_cluster.owner()->store.down = true;
        m_cluster.advance(Milliseconds(700));
        ASSERT_EQ(jobs().find("job")->occurrences.at(0).stepsDone, 1);
        ASSERT_EQ(m_cluster.workers.startCount({"job", 0, 1, 0}), 1U);
    }
};

}

// A worker that crashes loses its list of ends. The members of which the next owner read no end waited for ever, since
// a gang starts only as a whole.
TEST_F(GangHandOver, completesAGangOfWhichOneEndIsLost)
{
    endGangDuringOutage();
    m_cluster.restartWorker(Members - 1);
    killOwner();
    m_cluster.advance(Second * 25);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, Members - 1}), 1U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The end of a gang that earlier terms recorded for some members only completes the others.
TEST_F(GangHandOver, completesAGangThatWasRecordedInPart)
{
    JobRecord record = TestCluster::job("job", 2, Members);
    record.specification.steps[0].gang = true;
    m_cluster.workers.setBehaviour("job", {Second, 0, false});
    const Json steps = {{{"done", "1110"}}, {{"done", "0000"}}};
    const Json progress = {{"phase", "running"}, {"started", true}, {"next", 1}, {"occurrences", {{"0", steps}}}};
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::jobs("fleet") + "job", serialize(record), {}, 0},
        {JobKeys::progress("fleet") + "job", progress.dump(), {}, 0}, {JobKeys::home("job"), "fleet", {}, 0}};
    ASSERT_EQ(errorOf(m_cluster.state.commit(transaction)), nullptr);
    killOwner();
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, Members - 1}), 0U);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 1, 0}), 1U);
}

// A run whose end was not read in time completes the gang, so that all members of the next run are needless.
TEST_F(GangHandOver, stopsALaterRunWhenAnEarlierOneHasEnded)
{
    m_cluster.workers.setBehaviour("job", {Second * 2, 0, false});
    JobRecord record = TestCluster::job("job", 1, 2);
    record.specification.steps[0].gang = true;
    record.specification.steps[0].perWorkerLimit = 1;
    m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Second);
    const std::vector<TaskState> &members = jobs().find("job")->occurrences.at(0).steps[0].tasks;
    const std::set<std::string> first {members[0].worker, members[1].worker};
    for (const std::string &worker : first) {
        cutOff(worker);
    }
    // The run ends unseen. Its leases expire, and the owner waits for the ends no longer.
    m_cluster.workers.setBehaviour("job", {Second * 60, 0, false});
    m_cluster.advance(Second * 16);
    ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
    ASSERT_EQ(m_cluster.workers.runningCount(), 2U);
    m_cut = {*first.rbegin()};
    applyWorkers();
    m_cluster.advance(Second * 3);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
}

}
