#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster in which a worker carries an unanswered start out late.
class LateStart : public testing::Test
{
protected:
    using CallKind = FakeWorkerGateway::CallKind;
    using UnansweredCall = FakeWorkerGateway::UnansweredCall;

    LateStart()
    {
        m_cluster.advance(Second * 2);
        FakeWorkerGateway &gateway = m_cluster.owner()->gateway;
        gateway.lateCallsOutliveRestarts = true;
        gateway.filter = [this](CallKind kind, const std::string &worker) -> std::optional<UnansweredCall> {
            if (kind != CallKind::Start || !m_worker.empty()) {
                return std::nullopt;
            }
            m_worker = worker;
            m_sentAt = m_cluster.clock.now();
            return UnansweredCall {m_lateness, m_givenUpAfter};
        };
    }

    // Submits a job of one task and advances until its start is on its way.
    void submit(Milliseconds duration)
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.duration = duration;
        behaviour.demand = {1'000, 500, 0};
        m_cluster.workers.setBehaviour("job", behaviour);
        m_cluster.owner()->router.submit(
            TestCluster::job("job", 1, 1), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        while (m_worker.empty()) {
            m_cluster.advance(Milliseconds(20));
        }
    }

    // Lets the worker refuse the repeated start, until the task has been started elsewhere.
    void refuseRepetition()
    {
        const Resources capacity = m_cluster.workers.listings().at(m_worker).capacity;
        m_cluster.workers.setCapacityGuard(m_worker, FakeWorkers::CapacityGuard::RefusesStarts);
        m_cluster.workers.setCapacity(m_worker, {0, 0, 0});
        m_cluster.advance(Milliseconds(1'200));
        ASSERT_NE(task().worker, m_worker);
        ASSERT_EQ(task().phase, RunPhase::Running);
        m_cluster.workers.setCapacity(m_worker, capacity);
    }

    void restartWorker()
    {
        m_cluster.restartWorker(std::stoi(m_worker.substr(m_worker.rfind('-') + 1)));
    }

    [[nodiscard]] const std::map<std::string, WorkerState> &workers()
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler().workers();
    }

    [[nodiscard]] const TaskState &task()
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    }

    TestCluster m_cluster;
    // When the worker carries the start out.
    Milliseconds m_lateness {3'000};
    // When the owner gives it up.
    Milliseconds m_givenUpAfter {400};
    // The worker of the late start.
    std::string m_worker;
    Instant m_sentAt;
};

}

// The worker refused the repeated start and accepted the stop that followed, and the task was started elsewhere. Then
// the worker restarted under its name, and its next incarnation, which knew of no stop, carried the first order out.
TEST_F(LateStart, ofARunThatWasRefusedWhenRepeatedStartsNoSecondRunAfterARestart)
{
    submit(Second * 10);
    ASSERT_NO_FATAL_FAILURE(refuseRepetition());
    restartWorker();
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The worker carried the repeated start out and restarted after the end as done was noted. Its next incarnation carried
// the first order out.
TEST_F(LateStart, ofARunThatEndedAsDoneStartsNoSecondRunAfterARestart)
{
    submit(Milliseconds(300));
    m_cluster.advance(Second * 2);
    ASSERT_EQ(task().phase, RunPhase::Done);
    ASSERT_GT(workers().at(m_worker).acknowledgedEnd, 0U);
    restartWorker();
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The platform did not list the worker any more, and its owner forgot it together with the unanswered start.
TEST_F(LateStart, startsNoSecondRunOnAWorkerThatWasNotListedMeanwhile)
{
    m_lateness = Milliseconds(5'900);
    submit(Second * 10);
    ASSERT_NO_FATAL_FAILURE(refuseRepetition());
    m_cluster.workers.setRecovery(m_worker, {FakeWorkers::Recovery::Identity::SameName, Milliseconds(4'200)});
    m_cluster.workers.crash(m_worker);
    bool wasUnlisted = false;
    while (m_cluster.clock.now() < m_sentAt + Milliseconds(5'300)) {
        m_cluster.advance(Milliseconds(20));
        wasUnlisted = wasUnlisted || !workers().contains(m_worker) || !workers().at(m_worker).listed;
    }
    EXPECT_TRUE(wasUnlisted);
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// An owner whose event loop is late puts a start on the wire late, so the time for which the worker may carry it out
// ends later as well.
TEST_F(LateStart, ofAnOwnerThatWasLateToSendItStartsNoSecondRun)
{
    m_givenUpAfter = Milliseconds(1'800);
    m_lateness = Milliseconds(7'000);
    submit(Second * 20);
    m_cluster.advance(m_givenUpAfter);
    ASSERT_NO_FATAL_FAILURE(refuseRepetition());
    m_cluster.advance(std::chrono::duration_cast<Milliseconds>(m_sentAt + Milliseconds(6'200) - m_cluster.clock.now()));
    restartWorker();
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
