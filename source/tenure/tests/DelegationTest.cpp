#include "TestCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Four data centres. Each of the first two has two workers and is a partition of its own.
const std::map<std::string, std::string> Regions {
    {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}};

// Returns a long-running job with one task on each worker of its partition.
JobRecord longRunningJob(const std::string &id)
{
    JobRecord record = TestCluster::job(id, 1, 2);
    record.specification.steps[0].longRunning = true;
    record.specification.steps[0].perWorkerLimit = 1;
    return record;
}

// A partition loses half of its workers for good, and the other half has no headroom for the tasks that ran on them.
class DelegationTest : public testing::Test
{
protected:
    DelegationTest() : m_cluster(Regions)
    {
        m_cluster.advance(Second * 3);
        m_cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
        m_cluster.owner()->router.submit(
            longRunningJob("job"), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Second * 2);
        EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
        loseWorker("worker-2");
    }

    void loseWorker(const std::string &name)
    {
        m_lostWorkers.insert(name);
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->gateway.cutWorkers = m_lostWorkers;
            }
        }
        m_cluster.listAllWorkersExcept(m_lostWorkers);
    }

    void restart(const std::string &partition)
    {
        const int number = m_cluster.ownerOf(partition)->self.name.back() - '0';
        m_cluster.kill(number);
        m_cluster.start(number);
        loseWorker(*m_lostWorkers.begin());
    }

    [[nodiscard]] std::size_t startCount()
    {
        return m_cluster.workers.startCount({"job", 0, 0, 0}) + m_cluster.workers.startCount({"job", 0, 0, 1});
    }

    void expectOneRunOfEach()
    {
        EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
        EXPECT_EQ(startCount(), 3U);
        EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    }

    TestCluster m_cluster;
    std::set<std::string> m_lostWorkers;
};

}

TEST_F(DelegationTest, runsUnplacedTasksInAnotherPartition)
{
    m_cluster.advance(Second * 6);
    expectOneRunOfEach();
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Running);
    EXPECT_EQ(m_cluster.ownerOf("b")->ownership.leader("b")->phaseOf("job"), std::nullopt);
    EXPECT_EQ(m_cluster.ownerOf("b")->ownership.leader("b")->waitingCount("queue"), 0);
}

TEST_F(DelegationTest, cancelsDelegatedTasks)
{
    m_cluster.advance(Second * 6);
    std::optional<RouteOutcome> cancelled;
    m_cluster.ownerOf("b")->router.cancel(
        "job", m_cluster.clock.now() + Second * 3, [&cancelled](RouteOutcome outcome) { cancelled = outcome; });
    m_cluster.advance(Second * 3);
    EXPECT_EQ(cancelled, RouteOutcome::Done);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    m_cluster.advance(Second * 130);
    EXPECT_TRUE(m_cluster.state.list(JobKeys::jobs("b")).entries.empty());
    EXPECT_TRUE(m_cluster.state.list(JobKeys::progress("b")).entries.empty());
    EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("b")).entries.empty());
}

// The owner of the home partition ends after it recorded the cancellation and before it sent it to the other partition.
TEST_F(DelegationTest, cancelsDelegatedTasksAfterATakeOver)
{
    m_cluster.advance(Second * 6);
    const std::string key = JobKeys::progress("a") + "job";
    JobState finished;
    finished.phase = JobPhase::Cancelled;
    finished.formerDelegates = {"b"};
    const int number = m_cluster.ownerOf("a")->self.name.back() - '0';
    m_cluster.kill(number);
    StoreTransaction transaction;
    transaction.writes = {{key, writeJson(describeProgress(finished)), {}, 0}};
    ASSERT_EQ(errorOf(m_cluster.state.commit(transaction)), nullptr);
    m_cluster.start(number);
    loseWorker(*m_lostWorkers.begin());
    m_cluster.advance(Second * 8);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
}

TEST_F(DelegationTest, keepsDelegatedTasksAfterATakeOverOfTheOtherPartition)
{
    m_cluster.advance(Second * 6);
    restart("b");
    m_cluster.advance(Second * 6);
    expectOneRunOfEach();
}

TEST_F(DelegationTest, keepsDelegatedTasksAfterATakeOverOfTheHomePartition)
{
    m_cluster.advance(Second * 6);
    restart("a");
    m_cluster.advance(Second * 6);
    expectOneRunOfEach();
}

namespace
{

enum class Event {
    Kill,
    Start,
    CutStore,
    HealStore,
    LoseStoreAnswers,
    LoseOrderAnswers,
    DelayOrders,
    RestartWorker,
    LoseWorker,
    ReturnWorkers,
    Cancel,
    Count,
};

// Applies cancellations, faults and losses of workers to long-running jobs whose tasks are delegated between
// partitions.
class DelegationHistory
{
public:
    DelegationHistory() : m_cluster(Regions)
    {
        wait(Milliseconds(3'000));
        for (int i = 0; i < JobCount; ++i) {
            const std::string id = jobName(i);
            m_cluster.workers.setBehaviour(id, {Milliseconds(100), 0, true});
            m_cluster.owner()->router.submit(
                longRunningJob(id), m_cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
        wait(Milliseconds(1'000));
    }

    void apply(Event event, int choice)
    {
        const int number = choice % TestCluster::InstanceCount;
        TestInstance *instance = m_cluster.instances[number].get();
        if (event == Event::Kill) {
            m_cluster.kill(number);
        } else if (event == Event::Start && instance == nullptr) {
            m_cluster.start(number);
        } else if (event == Event::RestartWorker) {
            m_cluster.restartWorker(choice % TestCluster::WorkerCount);
        } else if (event == Event::LoseWorker) {
            m_lostWorkers.insert("worker-" + std::to_string(choice % TestCluster::WorkerCount));
        } else if (event == Event::ReturnWorkers) {
            m_lostWorkers.clear();
        } else if (instance != nullptr) {
            injectFault(*instance, event, choice);
        }
        applyWorkerLoss();
    }

    void settle()
    {
        m_lostWorkers.clear();
        for (int i = 0; i < TestCluster::InstanceCount; ++i) {
            if (!m_cluster.instances[i]) {
                m_cluster.start(i);
            }
            m_cluster.instances[i]->store.down = false;
            m_cluster.instances[i]->gateway.lateOrders = 0;
        }
        applyWorkerLoss();
        wait(Milliseconds(30'000));
    }

    // Checks that all tasks of every accepted job that was not cancelled run, and no others.
    void check()
    {
        RC_ASSERT(m_cluster.workers.violations() == std::vector<std::string>());
        std::size_t expected = 0;
        for (int i = 0; i < JobCount; ++i) {
            const std::optional<JobPhase> phase = m_cluster.phaseOf(jobName(i));
            expected += phase == JobPhase::Running || phase == JobPhase::Pending ? TasksPerJob : 0U;
        }
        RC_ASSERT(m_cluster.workers.runningCount() == expected);
        for (int i = 0; i < JobCount; ++i) {
            m_cluster.instances[0]->router.cancel(
                jobName(i), m_cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
        wait(Milliseconds(6'000));
        RC_ASSERT(m_cluster.workers.runningCount() == 0U);
        RC_ASSERT(m_cluster.workers.violations() == std::vector<std::string>());
    }

    void wait(Milliseconds duration)
    {
        m_cluster.advance(duration);
    }

private:
    static constexpr int JobCount = 2;
    static constexpr std::size_t TasksPerJob = 2;

    [[nodiscard]] static std::string jobName(int number)
    {
        return "job-" + std::to_string(number);
    }

    void applyWorkerLoss()
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->gateway.cutWorkers = m_lostWorkers;
            }
        }
        m_cluster.listAllWorkersExcept(m_lostWorkers);
    }

    void injectFault(TestInstance &instance, Event event, int choice)
    {
        if (event == Event::CutStore) {
            instance.store.down = true;
        } else if (event == Event::HealStore) {
            instance.store.down = false;
        } else if (event == Event::LoseStoreAnswers) {
            instance.store.loseAnswers = 1 + choice % 3;
        } else if (event == Event::LoseOrderAnswers) {
            instance.gateway.loseAnswers = 1 + choice % 4;
        } else if (event == Event::DelayOrders) {
            instance.gateway.lateOrders = 1 + choice % 4;
        } else if (event == Event::Cancel && choice % 5 == 0) {
            instance.router.cancel(
                jobName(choice % JobCount), m_cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
    }

    TestCluster m_cluster;
    std::set<std::string> m_lostWorkers;
};

}

// Under any combination of faults at most one partition runs a task at a time, and each task runs in the end.
RC_GTEST_PROP(DelegationModel, runsEachTaskInOnePartition, ())
{
    DelegationHistory history;
    const int length = *rc::gen::inRange(3, 25);
    for (int i = 0; i < length; ++i) {
        const int kind = *rc::gen::inRange(0, static_cast<int>(Event::Count) + 3);
        // The loss of workers is more frequent than other faults, because it causes delegations.
        history.apply(kind < static_cast<int>(Event::Count) ? static_cast<Event>(kind) : Event::LoseWorker,
            *rc::gen::inRange(0, 1'000));
        history.wait(Milliseconds(*rc::gen::inRange(1, 40) * 100));
    }
    history.settle();
    history.check();
}

}
