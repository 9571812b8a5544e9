#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster in which a worker carries an unanswered request that renews its leases out late.
class LateRenewal : public testing::Test
{
protected:
    using CallKind = FakeWorkerGateway::CallKind;
    using UnansweredCall = FakeWorkerGateway::UnansweredCall;

    // When the worker carries the request out.
    static constexpr Milliseconds Lateness {3'500};

    LateRenewal()
    {
        m_cluster.advance(Second * 2);
        FakeWorkerGateway &gateway = m_cluster.owner()->gateway;
        gateway.lateCallsOutliveRestarts = true;
        gateway.filter = [this](CallKind kind, const std::string &worker) -> std::optional<UnansweredCall> {
            if (kind != CallKind::Report || worker != m_worker || m_isSent) {
                return std::nullopt;
            }
            m_isSent = true;
            return UnansweredCall {Lateness};
        };
    }

    [[nodiscard]] const WorkerState &stateOf(const std::string &worker)
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler().workers().at(worker);
    }

    TestCluster m_cluster;
    // The worker that leaves a request unanswered, and whether that was sent.
    std::string m_worker;
    bool m_isSent = false;
};

}

// The expiry in the request is a time on the clock of the former incarnation, and the next one has a new clock. It
// extended the leases of its runs by the longest duration, its owner counted on the expiry that it had granted itself,
// and the tasks ran on two workers.
TEST_F(LateRenewal, extendsNoLeaseOfTheNextIncarnationBeyondWhatItsOwnerExpects)
{
    for (int i = 0; i < 4; ++i) {
        m_cluster.startLongRunning("job-" + std::to_string(i));
    }
    m_cluster.advance(Second * 10);
    const std::string worker = m_cluster.owner()
                                   ->ownership.leader("fleet")
                                   ->jobScheduler()
                                   .find("job-0")
                                   ->occurrences.at(0)
                                   .steps[0]
                                   .tasks[0]
                                   .worker;
    m_worker = worker;
    while (!m_isSent) {
        m_cluster.advance(Milliseconds(20));
    }
    const Instant sentAt = m_cluster.clock.now();
    const std::int64_t formerIncarnation = stateOf(worker).incarnation;
    m_cluster.restartWorker(std::stoi(worker.substr(worker.rfind('-') + 1)));
    // The worker answers all later requests, and its owner starts other tasks there.
    for (int i = 0; i < 3; ++i) {
        JobRecord record = TestCluster::job("later-" + std::to_string(i), 1, 3);
        record.specification.steps[0].longRunning = true;
        m_cluster.workers.setBehaviour(record.specification.id, {Milliseconds(100), 0, true});
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }
    m_cluster.advance(Milliseconds(2'000) - std::chrono::duration_cast<Milliseconds>(m_cluster.clock.now() - sentAt));
    ASSERT_NE(stateOf(worker).incarnation, formerIncarnation);
    ASSERT_EQ(stateOf(worker).consecutiveUnanswered, 0);
    RecordProperty("tasks", static_cast<int>(stateOf(worker).tasks.size()));
    // Then the worker is not heard any more, and is not listed either.
    m_cluster.owner()->gateway.cutWorkers.insert(worker);
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
