#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Milliseconds Step {20};
constexpr int MostSteps = 1'000;

class UnreadEnd : public testing::Test
{
protected:
    UnreadEnd()
    {
        m_cluster.advance(Second * 2);
        m_cluster.owner()->gateway.filter = [this](FakeWorkerGateway::CallKind kind, const std::string &worker) {
            const bool isLost = kind == FakeWorkerGateway::CallKind::Report && worker == m_silent;
            return isLost ? std::optional(FakeWorkerGateway::UnansweredCall()) : std::nullopt;
        };
    }

    [[nodiscard]] const TaskState &task()
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    }

    // Lets the run of the task end as done while reports of its worker are lost, and restarts the worker then.
    void loseEnd()
    {
        const std::size_t starts = m_cluster.workers.startCount({"job", 0, 0, 0});
        awaitThat([&] { return m_cluster.workers.startCount({"job", 0, 0, 0}) > starts; });
        m_cluster.advance(Step);
        m_silent = task().worker;
        awaitThat([&] { return m_cluster.workers.runningCount() == 0; });
        m_cluster.restartWorker(std::stoi(m_silent.substr(m_silent.rfind('-') + 1)));
        m_silent.clear();
    }

    TestCluster m_cluster;

private:
    template<typename Condition> void awaitThat(Condition condition)
    {
        for (int i = 0; i < MostSteps && !condition(); ++i) {
            m_cluster.advance(Step);
        }
        ASSERT_TRUE(condition());
    }

    // The worker whose reports are lost.
    std::string m_silent;
};

}

// Two runs of a task were done. Their workers restarted before their owner had read that, which took both for crashes
// under the task.
TEST_F(UnreadEnd, countsAsNoCrashOfTheTask)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Milliseconds(300);
    m_cluster.workers.setBehaviour("job", behaviour);
    m_cluster.owner()->router.submit(
        TestCluster::job("job", 1, 1), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    loseEnd();
    loseEnd();
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.workers.crashesUnder({"job", 0, 0, 0}), 0);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

}
