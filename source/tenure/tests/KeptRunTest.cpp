#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Runs that were sent to a worker beside a request that acknowledges ends, and reached its next incarnation.
class KeptRun : public testing::Test
{
protected:
    using CallKind = FakeWorkerGateway::CallKind;
    using UnansweredCall = FakeWorkerGateway::UnansweredCall;

    // When the worker carries the request out.
    static constexpr Milliseconds Lateness {1'800};

    KeptRun()
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

    // Restarts the worker of the first request that acknowledges ends, and delays that request. Loses requests to the
    // next incarnation from its first report on until then.
    std::optional<UnansweredCall> filterReport(const std::string &worker)
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        const WorkerState &state = jobs.workers().at(worker);
        if (m_worker.empty() && state.recordedEnd > state.acknowledgedEnd) {
            m_worker = worker;
            m_sentAt = m_cluster.clock.now();
            m_cluster.workers.restart(worker);
            return UnansweredCall {Lateness};
        }
        const bool isUnread = worker == m_worker && state.incarnation > 1
            && m_cluster.clock.now() < m_sentAt + Lateness + Milliseconds(50);
        return isUnread ? std::optional(UnansweredCall()) : std::nullopt;
    }

    TestCluster m_cluster;
    std::string m_worker;
    Instant m_sentAt;
};

}

// The owner started nothing more on the next incarnation, but left what ran there already. The late request made the
// worker forget the ends of these runs, which nobody had read, and the tasks ran again.
TEST_F(KeptRun, isNotRepeatedAfterALateAcknowledgementOfItsEnd)
{
    submit("earlier", 8, Milliseconds(200));
    for (int i = 0; i < 200 && m_worker.empty(); ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_FALSE(m_worker.empty());
    submit("job", 16, Milliseconds(1'000));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

}
