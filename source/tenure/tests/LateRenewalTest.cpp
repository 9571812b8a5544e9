#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster in which a worker carries an unanswered call that renews its leases out late.
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
            const bool isChosen = worker == m_worker || (m_worker.empty() && m_kind == CallKind::Start);
            if (kind != m_kind || !isChosen || m_isSent) {
                return std::nullopt;
            }
            m_worker = worker;
            m_isSent = true;
            return UnansweredCall {Lateness};
        };
    }

    [[nodiscard]] const WorkerState &stateOf(const std::string &worker)
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler().workers().at(worker);
    }

    // Starts long-running tasks until one of them runs on the worker.
    [[nodiscard]] std::string startLongRunning()
    {
        for (int i = 0; i < 4; ++i) {
            m_cluster.startLongRunning("job-" + std::to_string(i));
        }
        m_cluster.advance(Second * 10);
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find("job-0")->occurrences.at(0).steps[0].tasks[0].worker;
    }

    void submitLongRunning(const std::string &id, int width)
    {
        JobRecord record = TestCluster::job(id, 1, width);
        record.specification.steps[0].longRunning = true;
        m_cluster.workers.setBehaviour(record.specification.id, {Milliseconds(100), 0, true});
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }

    // Restarts the worker, which answers all later requests and gets other tasks, until it is not heard any more and
    // not listed either. The call was sent at the given time.
    void restartAndLoseWorker(Instant sentAt)
    {
        const std::int64_t formerIncarnation = stateOf(m_worker).incarnation;
        m_cluster.restartWorker(std::stoi(m_worker.substr(m_worker.rfind('-') + 1)));
        for (int i = 0; i < 3; ++i) {
            submitLongRunning("later-" + std::to_string(i), 3);
        }
        m_cluster.advance(
            Milliseconds(2'000) - std::chrono::duration_cast<Milliseconds>(m_cluster.clock.now() - sentAt));
        ASSERT_NE(stateOf(m_worker).incarnation, formerIncarnation);
        ASSERT_EQ(stateOf(m_worker).consecutiveUnanswered, 0);
        RecordProperty("tasks", static_cast<int>(stateOf(m_worker).tasks.size()));
        m_cluster.owner()->gateway.cutWorkers.insert(m_worker);
        m_cluster.advance(Second * 20);
    }

    TestCluster m_cluster;
    CallKind m_kind = CallKind::Report;
    // The worker that leaves a call unanswered, for a start the first one that gets any, and whether that was sent.
    std::string m_worker;
    bool m_isSent = false;
};

}

// The expiry in the request is a time on the clock of the former incarnation, and the next one has a new clock. It
// extended the leases of its runs by the longest duration, its owner counted on the expiry that it had granted itself,
// and the tasks ran on two workers.
TEST_F(LateRenewal, extendsNoLeaseOfTheNextIncarnationBeyondWhatItsOwnerExpects)
{
    m_worker = startLongRunning();
    while (!m_isSent) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_NO_FATAL_FAILURE(restartAndLoseWorker(m_cluster.clock.now()));
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The same by an order to start a run that the next incarnation was told to stop: it refused the start, but took the
// expiry.
TEST_F(LateRenewal, byAStartExtendsNoLeaseOfTheNextIncarnationBeyondWhatItsOwnerExpects)
{
    (void)startLongRunning();
    m_kind = CallKind::Start;
    submitLongRunning("next", 1);
    for (int i = 0; i < 100 && !m_isSent; ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_TRUE(m_isSent);
    const Instant sentAt = m_cluster.clock.now();
    m_cluster.advance(Milliseconds(900));
    ASSERT_NO_FATAL_FAILURE(restartAndLoseWorker(sentAt));
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
