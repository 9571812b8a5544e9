#include "TenureWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Four data centres, of which the first two have two workers each and are partitions of their own.
const std::map<std::string, std::string> Regions {
    {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}};

// A lasting job with one task on each worker of its partition.
JobRecord lastingJob(const std::string &id)
{
    JobRecord record = TenureWorld::job(id, 1, 2);
    record.specification.steps[0].longRunning = true;
    record.specification.steps[0].perWorkerLimit = 1;
    return record;
}

// Load: a partition loses half of its workers for good, and what ran on them finds no place there.
class DelegationTest : public testing::Test
{
protected:
    DelegationTest() : m_world(Regions)
    {
        m_world.advance(Second * 3);
        m_world.workers.setBehaviour("job", {Milliseconds(100), 0, true});
        m_world.owner()->router.submit(lastingJob("job"), m_world.clock.now() + Second * 3, [](RouteOutcome) {});
        m_world.advance(Second * 2);
        EXPECT_EQ(m_world.workers.runningCount(), 2U);
        loseWorker("worker-2");
    }

    void loseWorker(const std::string &name)
    {
        m_lost.insert(name);
        for (const auto &[number, instance] : m_world.instances) {
            if (instance) {
                instance->gateway.cutWorkers = m_lost;
            }
        }
        m_world.listWorkersWithout(m_lost);
    }

    void restart(const std::string &partition)
    {
        const int number = m_world.ownerOf(partition)->card.name.back() - '0';
        m_world.kill(number);
        m_world.start(number);
        loseWorker(*m_lost.begin());
    }

    [[nodiscard]] std::size_t startCount()
    {
        return m_world.workers.startCount({"job", 0, 0, 0}) + m_world.workers.startCount({"job", 0, 0, 1});
    }

    void expectOneRunOfEach()
    {
        EXPECT_EQ(m_world.workers.runningCount(), 2U);
        EXPECT_EQ(startCount(), 3U);
        EXPECT_EQ(m_world.workers.violations(), std::vector<std::string>());
    }

    TenureWorld m_world;
    std::set<std::string> m_lost;
};

}

TEST_F(DelegationTest, runsElsewhereWhatFindsNoWorkerAtHome)
{
    m_world.advance(Second * 6);
    expectOneRunOfEach();
    EXPECT_EQ(m_world.phaseOf("job"), JobPhase::Running);
    EXPECT_EQ(m_world.ownerOf("b")->seats.keeper("b")->phaseOf("job"), std::nullopt);
    EXPECT_EQ(m_world.ownerOf("b")->seats.keeper("b")->waitingCount("queue"), 0);
}

TEST_F(DelegationTest, cancelsWhatRunsElsewhere)
{
    m_world.advance(Second * 6);
    std::optional<RouteOutcome> cancelled;
    m_world.ownerOf("b")->router.cancel(
        "job", m_world.clock.now() + Second * 3, [&cancelled](RouteOutcome outcome) { cancelled = outcome; });
    m_world.advance(Second * 3);
    EXPECT_EQ(cancelled, RouteOutcome::Done);
    EXPECT_EQ(m_world.workers.runningCount(), 0U);
    EXPECT_EQ(m_world.phaseOf("job"), JobPhase::Cancelled);
    m_world.advance(Second * 130);
    EXPECT_TRUE(m_world.state.list(JobKeys::jobs("b")).entries.empty());
    EXPECT_TRUE(m_world.state.list(JobKeys::progress("b")).entries.empty());
    EXPECT_TRUE(m_world.state.list(JobKeys::inbox("b")).entries.empty());
}

// A home owner that ends between its record of the cancellation and the word to the other partition.
TEST_F(DelegationTest, cancelsWhatRunsElsewhereAfterATakeOver)
{
    m_world.advance(Second * 6);
    const std::string key = JobKeys::progress("a") + "job";
    JobState finished;
    finished.phase = JobPhase::Cancelled;
    finished.formerDelegates = {"b"};
    const int number = m_world.ownerOf("a")->card.name.back() - '0';
    m_world.kill(number);
    StoreTransaction transaction;
    transaction.writes = {{key, writeJson(describeProgress(finished)), {}, 0}};
    ASSERT_EQ(errorOf(m_world.state.commit(transaction)), nullptr);
    m_world.start(number);
    loseWorker(*m_lost.begin());
    m_world.advance(Second * 8);
    EXPECT_EQ(m_world.workers.runningCount(), 0U);
}

TEST_F(DelegationTest, goesOnAfterATakeOverOfTheOtherPartition)
{
    m_world.advance(Second * 6);
    restart("b");
    m_world.advance(Second * 6);
    expectOneRunOfEach();
}

TEST_F(DelegationTest, goesOnAfterATakeOverOfTheHomePartition)
{
    m_world.advance(Second * 6);
    restart("a");
    m_world.advance(Second * 6);
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

// Callers, faults and the loss of workers around lasting jobs that move between partitions.
class DelegationHistory
{
public:
    DelegationHistory() : m_world(Regions)
    {
        wait(Milliseconds(3'000));
        for (int i = 0; i < JobCount; ++i) {
            const std::string id = jobName(i);
            m_world.workers.setBehaviour(id, {Milliseconds(100), 0, true});
            m_world.owner()->router.submit(
                lastingJob(id), m_world.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
        wait(Milliseconds(1'000));
    }

    void apply(Event event, int choice)
    {
        const int number = choice % TenureWorld::InstanceCount;
        TenureInstance *instance = m_world.instances[number].get();
        if (event == Event::Kill) {
            m_world.kill(number);
        } else if (event == Event::Start && instance == nullptr) {
            m_world.start(number);
        } else if (event == Event::RestartWorker) {
            m_world.restartWorker(choice % TenureWorld::WorkerCount);
        } else if (event == Event::LoseWorker) {
            m_lost.insert("worker-" + std::to_string(choice % TenureWorld::WorkerCount));
        } else if (event == Event::ReturnWorkers) {
            m_lost.clear();
        } else if (instance != nullptr) {
            disturb(*instance, event, choice);
        }
        showWorkers();
    }

    void settle()
    {
        m_lost.clear();
        for (int i = 0; i < TenureWorld::InstanceCount; ++i) {
            if (!m_world.instances[i]) {
                m_world.start(i);
            }
            m_world.instances[i]->store.down = false;
            m_world.instances[i]->gateway.lateOrders = 0;
        }
        showWorkers();
        wait(Milliseconds(30'000));
    }

    // Every job that was accepted and not cancelled runs whole, and no other.
    void check()
    {
        RC_ASSERT(m_world.workers.violations() == std::vector<std::string>());
        std::size_t expected = 0;
        for (int i = 0; i < JobCount; ++i) {
            const std::optional<JobPhase> phase = m_world.phaseOf(jobName(i));
            expected += phase == JobPhase::Running || phase == JobPhase::Pending ? TasksOfAJob : 0U;
        }
        RC_ASSERT(m_world.workers.runningCount() == expected);
        for (int i = 0; i < JobCount; ++i) {
            m_world.instances[0]->router.cancel(
                jobName(i), m_world.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
        wait(Milliseconds(6'000));
        RC_ASSERT(m_world.workers.runningCount() == 0U);
        RC_ASSERT(m_world.workers.violations() == std::vector<std::string>());
    }

    void wait(Milliseconds duration)
    {
        m_world.advance(duration);
    }

private:
    static constexpr int JobCount = 2;
    static constexpr std::size_t TasksOfAJob = 2;

    [[nodiscard]] static std::string jobName(int number)
    {
        return "job-" + std::to_string(number);
    }

    void showWorkers()
    {
        for (const auto &[number, instance] : m_world.instances) {
            if (instance) {
                instance->gateway.cutWorkers = m_lost;
            }
        }
        m_world.listWorkersWithout(m_lost);
    }

    void disturb(TenureInstance &instance, Event event, int choice)
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
                jobName(choice % JobCount), m_world.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
    }

    TenureWorld m_world;
    std::set<std::string> m_lost;
};

}

// Whatever is lost between and in the partitions: at most one of them runs a task, and each task runs in the end.
RC_GTEST_PROP(DelegationModel, runsEachTaskInOnePlace, ())
{
    DelegationHistory history;
    const int length = *rc::gen::inRange(3, 25);
    for (int i = 0; i < length; ++i) {
        const int kind = *rc::gen::inRange(0, static_cast<int>(Event::Count) + 3);
        // The loss of workers comes more often than any other fault: it is what moves tasks.
        history.apply(kind < static_cast<int>(Event::Count) ? static_cast<Event>(kind) : Event::LoseWorker,
            *rc::gen::inRange(0, 1'000));
        history.wait(Milliseconds(*rc::gen::inRange(1, 40) * 100));
    }
    history.settle();
    history.check();
}

}
