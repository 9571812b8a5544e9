#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
// Callers expect an accepted job to run this long after it could.
constexpr Milliseconds LongestWait {3'000};

// Batch jobs beside a long-running job of a queue that needs advice.
class AdvisedReservation : public testing::Test
{
protected:
    AdvisedReservation()
    {
        m_cluster.advance(Second * 3);
    }

    void submit(const std::string &id, int tasks, std::int64_t milliCores, bool longRunning)
    {
        m_cluster.workers.setBehaviour(id, {Second, 0, longRunning});
        JobRecord record = TestCluster::job(id, 1, tasks);
        record.specification.steps[0].demand.milliCores = milliCores;
        record.specification.steps[0].longRunning = longRunning;
        record.policy.advised = longRunning;
        m_cluster.owner()->ownership.leader("fleet")->submit(
            record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
        m_cluster.advance(Milliseconds(200));
    }

    [[nodiscard]] int waitingTasks(const std::string &id)
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find(id)->occurrences.at(0).steps[0].waitingCount;
    }

    TestCluster m_cluster;
};

}

// A long-running job asks for more than the workers hold that its queue's policy allows. All others were reserved for
// it, and no batch job started any more (review/8).
TEST_F(AdvisedReservation, leavesOtherWorkersToBatchJobs)
{
    m_cluster.advisor.suitable = {"worker-0"};
    submit("watch", 5, 2'000, true);
    m_cluster.advance(Second * 3);
    ASSERT_EQ(waitingTasks("watch"), 3);
    submit("batch", 3, 2'000, false);
    m_cluster.advance(LongestWait);
    EXPECT_EQ(m_cluster.phaseOf("batch"), JobPhase::Done);
}

// The advisor does not answer at all.
TEST_F(AdvisedReservation, leavesWorkersToBatchJobsWhileTheAdvisorIsAway)
{
    m_cluster.advisor.away = true;
    submit("watch", 4, 2'000, true);
    submit("batch", 3, 2'000, false);
    m_cluster.advance(LongestWait);
    EXPECT_EQ(m_cluster.phaseOf("batch"), JobPhase::Done);
}

// The advisor has permitted workers before and does not answer any more.
TEST_F(AdvisedReservation, endsSomeTimeAfterTheLastAdvice)
{
    m_cluster.advisor.suitable = {"worker-0", "worker-1", "worker-2", "worker-3"};
    submit("batch-0", 4, 3'000, false);
    submit("watch", 4, 2'000, true);
    m_cluster.advisor.away = true;
    m_cluster.advance(Second * 5);
    submit("batch", 3, 2'000, false);
    m_cluster.advance(LongestWait);
    EXPECT_EQ(m_cluster.phaseOf("batch"), JobPhase::Done);
}

// Batch jobs arrive all the time on the only worker that the advice permits. It is reserved, so they make room.
TEST_F(AdvisedReservation, keepsPermittedWorkersFree)
{
    m_cluster.advisor.suitable = {"worker-0"};
    constexpr int Jobs = 24;
    for (int i = 0; i < Jobs / 2; ++i) {
        submit("before-" + std::to_string(i), 4, 1'000, false);
    }
    submit("watch", 1, 4'000, true);
    for (int i = 0; i < Jobs; ++i) {
        submit("after-" + std::to_string(i), 4, 1'000, false);
    }
    EXPECT_EQ(waitingTasks("watch"), 0);
}

// Tasks that the advice keeps off all other workers must not make these look taken.
TEST_F(AdvisedReservation, leavesHeadroomToOthers)
{
    m_cluster.advisor.suitable = {"worker-0"};
    submit("watch", 4, 2'000, true);
    m_cluster.advance(Second * 3);
    const PoolHeadrooms headrooms = m_cluster.owner()->ownership.leader("fleet")->jobScheduler().headrooms();
    EXPECT_EQ(headrooms.at("pool").freeBesideLongRunning, 12'000);
}

}
