#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster in which a worker carries an unanswered request that acknowledges ends out late.
class LateAcknowledgement : public testing::Test
{
protected:
    using CallKind = FakeWorkerGateway::CallKind;
    using UnansweredCall = FakeWorkerGateway::UnansweredCall;

    // When the worker carries the request out.
    static constexpr Milliseconds Lateness {3'500};

    LateAcknowledgement()
    {
        m_cluster.advance(Second * 2);
        FakeWorkerGateway &gateway = m_cluster.owner()->gateway;
        gateway.lateCallsOutliveRestarts = true;
        gateway.filter = [this](CallKind kind, const std::string &worker) {
            return kind == CallKind::Report ? filterReport(worker) : std::nullopt;
        };
    }

    void submit(const std::string &id, int width, Milliseconds duration)
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.duration = duration;
        m_cluster.workers.setBehaviour(id, behaviour);
        m_cluster.owner()->router.submit(
            TestCluster::job(id, 1, width), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }

    [[nodiscard]] const WorkerState &stateOf(const std::string &worker)
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler().workers().at(worker);
    }

    // Delays the first request that acknowledges ends. Loses requests to the worker's next incarnation until then,
    // while it has tasks.
    std::optional<UnansweredCall> filterReport(const std::string &worker)
    {
        const WorkerState &state = stateOf(worker);
        if (m_worker.empty() && state.recordedEnd > state.acknowledgedEnd) {
            m_worker = worker;
            m_sentAt = m_cluster.clock.now();
            return UnansweredCall {Lateness};
        }
        const bool isUnread = worker == m_worker && state.incarnation > 1 && !state.tasks.empty()
            && m_cluster.clock.now() < m_sentAt + Lateness + Milliseconds(50);
        return isUnread ? std::optional(UnansweredCall()) : std::nullopt;
    }

    TestCluster m_cluster;
    std::string m_worker;
    Instant m_sentAt;
};

}

// The worker answered the next request and restarted under its name. Its next incarnation carried the earlier request
// out, and forgot the end of a run that nobody had read. The task ran again after it was done.
TEST_F(LateAcknowledgement, reachesNoEndOfTheNextIncarnationAfterLaterRequestsWereAnswered)
{
    submit("earlier", 8, Milliseconds(200));
    for (int i = 0; i < 200 && m_worker.empty(); ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_FALSE(m_worker.empty());
    m_cluster.advance(Milliseconds(1'200));
    ASSERT_EQ(stateOf(m_worker).consecutiveUnanswered, 0);
    ASSERT_EQ(stateOf(m_worker).recordedEnd, stateOf(m_worker).acknowledgedEnd);
    m_cluster.restartWorker(std::stoi(m_worker.substr(m_worker.rfind('-') + 1)));
    m_cluster.advance(Milliseconds(1'000));
    submit("job", 400, Milliseconds(200));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

}
