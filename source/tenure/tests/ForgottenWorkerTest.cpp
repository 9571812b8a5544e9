#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A worker that crashes, is not listed any more, comes back under its name, and carries a request to its former
// incarnation out that acknowledges ends.
class ForgottenWorker : public testing::Test
{
protected:
    using CallKind = FakeWorkerGateway::CallKind;
    using UnansweredCall = FakeWorkerGateway::UnansweredCall;

    // When the worker carries the request out.
    static constexpr Milliseconds Lateness {5'900};

    ForgottenWorker()
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

    [[nodiscard]] const std::map<std::string, WorkerState> &workers()
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler().workers();
    }

    // Delays the first request that acknowledges ends. Loses requests to the worker's next incarnation until then,
    // while it has tasks.
    std::optional<UnansweredCall> filterReport(const std::string &worker)
    {
        const WorkerState &state = workers().at(worker);
        if (m_worker.empty() && state.recordedEnd > state.acknowledgedEnd && state.tasks.empty()) {
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

// What the owner knew of the late request was lost with all that it knew of the worker, because the platform did not
// list it any more. The next incarnation forgot the end of a run that nobody had read, and the task ran again.
TEST_F(ForgottenWorker, isGivenNothingUntilALateAcknowledgementCanNotReachItAnyMore)
{
    submit("earlier", 8, Milliseconds(200));
    for (int i = 0; i < 200 && m_worker.empty(); ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_FALSE(m_worker.empty());
    m_cluster.workers.setRecovery(m_worker, {FakeWorkers::Recovery::Identity::SameName, Milliseconds(4'300)});
    m_cluster.workers.crash(m_worker);
    bool wasUnlisted = false;
    while (m_cluster.clock.now() < m_sentAt + Milliseconds(4'500)) {
        m_cluster.advance(Milliseconds(20));
        wasUnlisted = wasUnlisted || !workers().contains(m_worker) || !workers().at(m_worker).listed;
    }
    ASSERT_TRUE(wasUnlisted);
    submit("job", 400, Milliseconds(200));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

}
