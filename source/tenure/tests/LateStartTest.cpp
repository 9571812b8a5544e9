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
            return UnansweredCall {Milliseconds(3'000)};
        };
    }

    [[nodiscard]] const TaskState &task()
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    }

    TestCluster m_cluster;
    // The worker of the late start.
    std::string m_worker;
};

}

// The worker refused the repeated start and accepted the stop that followed, and the task was started elsewhere. Then
// the worker restarted under its name, and its next incarnation, which knew of no stop, carried the first order out.
TEST_F(LateStart, ofARunThatWasRefusedWhenRepeatedStartsNoSecondRunAfterARestart)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second * 10;
    behaviour.demand = {1'000, 500, 0};
    m_cluster.workers.setBehaviour("job", behaviour);
    m_cluster.owner()->router.submit(
        TestCluster::job("job", 1, 1), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    while (m_worker.empty()) {
        m_cluster.advance(Milliseconds(20));
    }
    const Resources capacity = m_cluster.workers.listings().at(m_worker).capacity;
    m_cluster.workers.setCapacityGuard(m_worker, FakeWorkers::CapacityGuard::RefusesStarts);
    m_cluster.workers.setCapacity(m_worker, {0, 0, 0});
    m_cluster.advance(Milliseconds(1'200));
    ASSERT_NE(task().worker, m_worker);
    ASSERT_EQ(task().phase, RunPhase::Running);
    m_cluster.workers.setCapacity(m_worker, capacity);
    m_cluster.restartWorker(std::stoi(m_worker.substr(m_worker.rfind('-') + 1)));
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
