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

// The other partition is cut off from the store when it has read a delegation and not erased it yet. A later one had
// replaced it by then, and was erased with it unread.
TEST(DelegationMessages, areAllReadAfterACutFromTheStore)
{
    TestCluster cluster(Regions);
    cluster.advance(Second * 3);
    cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    cluster.owner()->router.submit(longRunningJob("job"), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second * 2);
    ASSERT_EQ(cluster.workers.runningCount(), 2U);
    // One task loses its worker, and the other one soon after. That worker comes back without room.
    cluster.workers.setCapacity("worker-2", {500, 8'000, 0});
    for (const auto &[number, instance] : cluster.instances) {
        instance->gateway.cutWorkers = {"worker-0"};
    }
    cluster.listAllWorkersExcept({"worker-0"});
    TestInstance *other = cluster.ownerOf("b");
    ASSERT_NE(other, cluster.ownerOf("a"));
    for (int i = 0; i < 500 && other->ownership.leader("b")->jobScheduler().find("job") == nullptr; ++i) {
        cluster.advance(Milliseconds(20));
    }
    other->store.down = true;
    cluster.restartWorker(2);
    cluster.advance(Milliseconds(2'200));
    other->store.down = false;
    cluster.advance(Second * 10);
    EXPECT_EQ(cluster.workers.runningCount(), 2U);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
}

namespace
{

// A third partition has room. The task that was delegated to the second one loses its worker there, and the other
// worker of that partition has no room.
class TaskReturn : public DelegationTest
{
protected:
    TaskReturn()
    {
        m_cluster.advance(Second * 6);
        m_workerThere = workerIn("b");
        for (const std::string name : {"worker-4", "worker-5"}) {
            m_cluster.workers.add({name, name + ":1", "pool", "c", "rack", {}, {4'000, 8'000, 0}, 1, false});
        }
        const std::string other = m_workerThere == "worker-1" ? "worker-3" : "worker-1";
        setRoom(other, 500);
        // The task does not seem to have crashed its worker.
        m_cluster.advance(Second * 15);
        EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    }

    // Returns the worker of the partition on which one of the tasks runs, or an empty string.
    [[nodiscard]] std::string workerIn(const std::string &partition)
    {
        const TestInstance *owner = m_cluster.ownerOf(partition);
        if (owner == nullptr) {
            return {};
        }
        const int number = owner->self.name.back() - '0';
        const JobState *job = m_cluster.instances.at(number)->ownership.leader(partition)->jobScheduler().find("job");
        if (job != nullptr && !job->isFinished()) {
            for (const TaskState &task : job->occurrences.at(0).steps[0].tasks) {
                if (task.phase == RunPhase::Running) {
                    return task.worker;
                }
            }
        }
        return {};
    }

    void setRoom(const std::string &worker, std::int64_t milliCores)
    {
        m_cluster.workers.setCapacity(worker, {milliCores, 8'000, 0});
        m_cluster.listAllWorkersExcept(m_lostWorkers);
    }

    // Waits until the task runs in the third partition, and returns how long that takes.
    Milliseconds awaitThird()
    {
        const Instant begin = m_cluster.clock.now();
        for (int i = 0; i < 1'000 && workerIn("c").empty(); ++i) {
            m_cluster.advance(Milliseconds(20));
        }
        return std::chrono::duration_cast<Milliseconds>(m_cluster.clock.now() - begin);
    }

    [[nodiscard]] std::size_t entryCount(const std::string &partition)
    {
        return m_cluster.state.list(JobKeys::jobs(partition)).entries.size()
            + m_cluster.state.list(JobKeys::progress(partition)).entries.size()
            + m_cluster.state.list(JobKeys::inbox(partition)).entries.size();
    }

    std::string m_workerThere;
};

}

// The task stayed in the partition to which it had been delegated, however much room others had.
TEST_F(TaskReturn, passesATaskOnThatFindsNoWorker)
{
    loseWorker(m_workerThere);
    // Leases last 2 s.
    EXPECT_LE(awaitThird(), Second * 4);
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    EXPECT_EQ(startCount(), 4U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_F(TaskReturn, happensOnceAlthoughTheOwnerOfTheOtherPartitionChanges)
{
    loseWorker(m_workerThere);
    EXPECT_LE(awaitThird(), Second * 4);
    setRoom("worker-1", 4'000);
    setRoom("worker-3", 4'000);
    restart("b");
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    EXPECT_EQ(startCount(), 4U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_F(TaskReturn, happensOnceAlthoughOwnersChangeMeanwhile)
{
    const auto restartOwner = [this](const std::string &partition) {
        const TestInstance *owner = m_cluster.ownerOf(partition);
        if (owner != nullptr) {
            const int number = owner->self.name.back() - '0';
            m_cluster.kill(number);
            m_cluster.start(number);
            loseWorker(m_workerThere);
        }
    };
    loseWorker(m_workerThere);
    // The lease of the lost run ends, and the task leaves the partition.
    for (int i = 0; i < 40; ++i) {
        m_cluster.advance(Milliseconds(100));
        if (i % 5 == 0) {
            restartOwner(i % 2 == 0 ? "a" : "b");
        }
    }
    awaitThird();
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_F(TaskReturn, leavesNothingBehindAfterACancellation)
{
    loseWorker(m_workerThere);
    awaitThird();
    restart("a");
    m_cluster.advance(Second * 6);
    m_cluster.owner()->router.cancel("job", m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Second * 3);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    m_cluster.advance(Second * 130);
    EXPECT_EQ(entryCount("a"), 0U);
    EXPECT_EQ(entryCount("b"), 0U);
    EXPECT_EQ(entryCount("c"), 0U);
}

// An instance of an earlier version would lose the message, or run the task again as the next owner.
TEST_F(TaskReturn, waitsUntilAllInstancesKnowIt)
{
    const std::string key = JobKeys::Instances + "instance-9";
    StoreTransaction transaction;
    transaction.writes = {{key, R"({"name":"instance-9","address":"instance-9","millicores":1})", {}, 0}};
    ASSERT_EQ(errorOf(m_cluster.state.commit(transaction)), nullptr);
    loseWorker(m_workerThere);
    m_cluster.advance(Second * 8);
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
    ASSERT_EQ(errorOf(m_cluster.state.erase(key, {})), nullptr);
    EXPECT_LE(awaitThird(), Second * 3);
}

// A partition that has no room either must not get the task back at once, and so on for ever.
TEST_F(TaskReturn, isRareBetweenPartitionsWithoutRoom)
{
    setRoom("worker-4", 500);
    setRoom("worker-5", 500);
    loseWorker(m_workerThere);
    m_cluster.advance(Second * 5);
    // Each delegation writes the record, and each return the progress.
    const std::string record = JobKeys::jobs("b") + "job";
    const std::string progress = JobKeys::progress("b") + "job";
    const StoreRevision delegated = m_cluster.state.read(record)->revision;
    const StoreRevision returned = m_cluster.state.read(progress)->revision;
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
    EXPECT_EQ(m_cluster.state.read(record)->revision, delegated);
    EXPECT_EQ(m_cluster.state.read(progress)->revision, returned);
    setRoom("worker-5", 4'000);
    EXPECT_LE(awaitThird(), Second * 3);
}

TEST(DelegationMessages, ofALaterVersionAreKept)
{
    TestCluster cluster(Regions);
    cluster.advance(Second * 3);
    const std::string key = JobKeys::inbox("a") + "1-later-job";
    for (const auto &[value, kept] : std::map<std::string, bool> {
             {R"({"request":"later","job":"job"})", true}, {R"({"job":"job"})", false}, {"text", false}}) {
        StoreTransaction transaction;
        transaction.writes = {{key, value, {}, 0}};
        ASSERT_EQ(errorOf(cluster.state.commit(transaction)), nullptr);
        cluster.advance(Second * 2);
        EXPECT_EQ(cluster.state.read(key).has_value(), kept) << value;
    }
}

namespace
{

constexpr Milliseconds ShortDelay {10};
const TaskName Crashing {"job", 0, 0, 0};

// A long-running task crashes its worker. The worker comes back without room for it, so that the task is delegated.
class DelegatedCrash : public testing::Test
{
protected:
    DelegatedCrash() : m_cluster(Regions)
    {
        m_cluster.advance(Second * 3);
    }

    // Submits a job whose first task crashes each worker so long after its start, and waits for the first crash.
    void submitCrashing(Milliseconds after, Milliseconds downtimeAtHome)
    {
        setBehaviour(FakeWorkers::Crash {after, 0});
        m_cluster.owner()->router.submit(
            longRunningJob("job"), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        for (int i = 0; i < 500 && crashes() == 0; ++i) {
            m_cluster.advance(Milliseconds(20));
            for (const std::string name : {"worker-0", "worker-2"}) {
                m_cluster.workers.setRecovery(name, {FakeWorkers::Recovery::Identity::SameName, downtimeAtHome});
            }
        }
        ASSERT_EQ(crashes(), 1);
        for (const std::string name : {"worker-0", "worker-2"}) {
            m_cluster.workers.setCapacity(name, {500, 8'000, 0});
        }
    }

    void setBehaviour(std::optional<FakeWorkers::Crash> crash)
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.lasting = true;
        behaviour.crash = crash;
        m_cluster.workers.setBehaviour("job", behaviour);
    }

    [[nodiscard]] int crashes() const
    {
        return m_cluster.workers.crashesUnder(Crashing);
    }

    [[nodiscard]] const TaskState &taskIn(const std::string &partition)
    {
        const JobScheduler &jobs = m_cluster.ownerOf(partition)->ownership.leader(partition)->jobScheduler();
        return jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    }

    void restart(const std::string &partition)
    {
        const TestInstance *owner = m_cluster.ownerOf(partition);
        if (owner != nullptr) {
            const int number = owner->self.name.back() - '0';
            m_cluster.kill(number);
            m_cluster.start(number);
        }
    }

    void putIntoInbox(const std::string &partition, const std::string &value)
    {
        StoreTransaction transaction;
        transaction.writes = {{JobKeys::inboxGivenUp(partition, "job"), value, {}, 0}};
        ASSERT_EQ(errorOf(m_cluster.state.commit(transaction)), nullptr);
    }

    void expectGivenUp(std::size_t starts)
    {
        EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Failed);
        EXPECT_EQ(m_cluster.workers.startCount(Crashing), starts);
        EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
        EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
        EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("a")).entries.empty());
        EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("b")).entries.empty());
    }

    TestCluster m_cluster;
};

}

TEST_F(DelegatedCrash, isGivenUpByTheOtherPartitionAndEndsTheJob)
{
    submitCrashing(ShortDelay, Second);
    m_cluster.advance(Second * 60);
    expectGivenUp(2);
}

// Three late crashes prove that the task is the cause, wherever they happened.
TEST_F(DelegatedCrash, countsCrashesBeforeTheDelegation)
{
    submitCrashing(Second * 3, Second);
    m_cluster.advance(Second * 60);
    expectGivenUp(3);
}

// The worker at home comes back after the task was delegated, and only then it is known that it had crashed.
TEST_F(DelegatedCrash, countsACrashThatIsProvenAfterTheDelegation)
{
    submitCrashing(Second * 3, Second * 8);
    m_cluster.advance(Second * 60);
    expectGivenUp(3);
}

// The task was delegated with one crash counted and the next one not proven yet. The other partition judged its crashes
// without that one and started the task once more than needed, in the worst case a sixth time.
TEST_F(DelegatedCrash, isNotDelegatedWhileACrashAtHomeMayStillCount)
{
    const auto setHomeDowntime = [this](Milliseconds downtime) {
        for (const std::string name : {"worker-0", "worker-2"}) {
            m_cluster.workers.setRecovery(name, {FakeWorkers::Recovery::Identity::SameName, downtime});
        }
    };
    const auto advanceToCrash = [this](int number) {
        for (int i = 0; i < 1'000 && crashes() < number; ++i) {
            m_cluster.advance(Milliseconds(20));
        }
    };
    for (const std::string name : {"worker-1", "worker-3"}) {
        m_cluster.workers.setRecovery(name, {FakeWorkers::Recovery::Identity::SameName, Second});
    }
    setHomeDowntime(Second);
    setBehaviour(FakeWorkers::Crash {Second * 3, 0});
    m_cluster.owner()->router.submit(longRunningJob("job"), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    advanceToCrash(1);
    setHomeDowntime(Second * 14);
    advanceToCrash(2);
    for (const std::string name : {"worker-0", "worker-2"}) {
        m_cluster.workers.setCapacity(name, {500, 8'000, 0});
    }
    m_cluster.advance(Second * 60);
    expectGivenUp(3);
}

TEST_F(DelegatedCrash, isGivenUpAlthoughTheOtherOwnerIsKilledAfterEachCrash)
{
    submitCrashing(ShortDelay, Second);
    for (int seen = crashes(), i = 0; i < 3'000; ++i) {
        m_cluster.advance(Milliseconds(20));
        if (crashes() > seen) {
            seen = crashes();
            restart("b");
        }
    }
    expectGivenUp(3);
}

TEST_F(DelegatedCrash, isGivenUpAlthoughTheHomeOwnerIsKilledAfterEachCrash)
{
    submitCrashing(Second * 3, Second * 8);
    for (int seen = crashes(), i = 0; i < 3'000; ++i) {
        m_cluster.advance(Milliseconds(20));
        if (crashes() > seen) {
            seen = crashes();
            restart("a");
        }
    }
    expectGivenUp(3);
}

// The task has stopped to crash its workers. What is known of the time before must not count against it for ever.
TEST_F(DelegatedCrash, staysClearedAfterATakeOverOfTheOtherPartition)
{
    submitCrashing(Second * 3, Second);
    setBehaviour({});
    m_cluster.advance(Second * 60);
    ASSERT_EQ(taskIn("b").phase, RunPhase::Running);
    EXPECT_TRUE(taskIn("b").crashes.isEmpty());
    restart("b");
    m_cluster.advance(Second * 6);
    EXPECT_EQ(taskIn("b").phase, RunPhase::Running);
    EXPECT_TRUE(taskIn("b").crashes.isEmpty());
    EXPECT_EQ(m_cluster.workers.startCount(Crashing), 2U);
}

TEST_F(DelegatedCrash, doesNotEndAJobByAVerdictThatNamesNoneOfItsTasks)
{
    submitCrashing(Second * 3, Second);
    setBehaviour({});
    m_cluster.advance(Second * 10);
    putIntoInbox(
        "a", R"({"request":"give-up","job":"job","given_up":[7,{"task":"other.0.0.0"},{"task":"job.0.0.9"}]})");
    m_cluster.advance(Second * 2);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Running);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("a")).entries.empty());
}

TEST_F(DelegatedCrash, doesNotChangeTheEndOfACancelledJobByALateVerdict)
{
    submitCrashing(Second * 3, Second);
    setBehaviour({});
    m_cluster.advance(Second * 10);
    m_cluster.owner()->router.cancel("job", m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Second * 3);
    for (int i = 0; i < 2; ++i) {
        putIntoInbox("a", R"({"request":"give-up","job":"job","given_up":[{"task":"job.0.0.0"}]})");
        m_cluster.advance(Second * 2);
        EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
        EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("a")).entries.empty());
    }
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
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
    CrashWorker,
    // The process of a partition's owner starts anew, or does not.
    RestartOwner,
    KillOwner,
    Count,
};

// Applies cancellations, faults and losses of workers to long-running jobs whose tasks are delegated between
// partitions. A task of a further job may crash its workers.
class DelegationHistory
{
public:
    explicit DelegationHistory(std::optional<FakeWorkers::Crash> crash = {}) : m_cluster(Regions), m_crash(crash)
    {
        wait(Milliseconds(3'000));
        for (int i = 0; i < InnocentJobs; ++i) {
            submit(i, {});
        }
        wait(Milliseconds(1'000));
        if (crash) {
            submit(InnocentJobs, crash);
            wait(Milliseconds(100));
        }
    }

    // The workers come back under their names or under new ones, sooner or later.
    void setUpWorkers(int choice)
    {
        for (int i = 0; i < TestCluster::WorkerCount; ++i, choice /= 2) {
            FakeWorkers::Recovery recovery;
            recovery.identity = choice % 2 == 0 ? FakeWorkers::Recovery::Identity::SameName
                                                : FakeWorkers::Recovery::Identity::NewName;
            recovery.downtime = Milliseconds(500 + choice % 5 * 2'000);
            m_cluster.workers.setRecovery(m_cluster.workerName(i), recovery);
        }
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
        } else if (event == Event::CrashWorker) {
            m_cluster.workers.crash(m_cluster.workerName(choice % TestCluster::WorkerCount));
        } else if (event == Event::RestartOwner || event == Event::KillOwner) {
            endOwner(choice % 2 == 0 ? "a" : "b", event);
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
        constexpr int MostPauses = 12;
        const std::string crashing = jobName(InnocentJobs);
        for (int i = 0; m_crash && i < MostPauses && isUnfinished(m_cluster.phaseOf(crashing)); ++i) {
            wait(Milliseconds(5'000));
        }
    }

    // Checks that all tasks of every accepted job that has not ended run, and no others. If there is a job with a task
    // that crashes its workers, it fails, and none does without two crashes of workers under a task of it.
    void check()
    {
        RC_ASSERT(m_cluster.workers.violations() == std::vector<std::string>());
        std::size_t expected = 0;
        for (int i = 0; i < jobCount(); ++i) {
            const std::optional<JobPhase> phase = m_cluster.phaseOf(jobName(i));
            const bool isUnfinishedJob = isUnfinished(phase);
            expected += isUnfinishedJob ? TasksPerJob : 0U;
            RC_ASSERT(!isUnfinishedJob || i < InnocentJobs);
            RC_ASSERT(!m_crash || phase != JobPhase::Failed || m_cluster.workers.mayFail(jobName(i)));
        }
        RC_ASSERT(m_cluster.workers.runningCount() == expected);
        for (int i = 0; i < jobCount(); ++i) {
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
    static constexpr int InnocentJobs = 2;
    static constexpr std::size_t TasksPerJob = 2;

    [[nodiscard]] int jobCount() const
    {
        return InnocentJobs + (m_crash ? 1 : 0);
    }

    void submit(int number, std::optional<FakeWorkers::Crash> crash)
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.lasting = true;
        behaviour.crash = crash;
        m_cluster.workers.setBehaviour(jobName(number), behaviour);
        m_cluster.owner()->router.submit(
            longRunningJob(jobName(number)), m_cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
    }

    [[nodiscard]] static std::string jobName(int number)
    {
        return "job-" + std::to_string(number);
    }

    [[nodiscard]] static bool isUnfinished(const std::optional<JobPhase> &phase)
    {
        return phase == JobPhase::Running || phase == JobPhase::Pending;
    }

    void endOwner(const std::string &partition, Event event)
    {
        const TestInstance *owner = m_cluster.ownerOf(partition);
        if (owner == nullptr) {
            return;
        }
        const int number = owner->self.name.back() - '0';
        m_cluster.kill(number);
        if (event == Event::RestartOwner) {
            m_cluster.start(number);
        }
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
                jobName(choice % jobCount()), m_cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        }
    }

    TestCluster m_cluster;
    std::optional<FakeWorkers::Crash> m_crash;
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

namespace
{

void checkCrashingHistory(Milliseconds crashAfter)
{
    DelegationHistory history(FakeWorkers::Crash {crashAfter, *rc::gen::inRange(0, 2)});
    history.setUpWorkers(*rc::gen::inRange(0, 1'000));
    const int length = *rc::gen::inRange(3, 40);
    for (int i = 0; i < length; ++i) {
        constexpr int EventCount = static_cast<int>(Event::Count);
        const int kind = *rc::gen::inRange(0, EventCount + 4);
        history.apply(kind < EventCount ? static_cast<Event>(kind) : Event::LoseWorker, *rc::gen::inRange(0, 1'000));
        const int unit = *rc::gen::element(20, 20, 50, 50, 100, 200);
        history.wait(Milliseconds(*rc::gen::inRange(1, 20) * unit));
    }
    history.settle();
    history.check();
}

}

// The same with a task that crashes each worker that starts it. It is given up before it has been started too often,
// whichever partitions start it, and its job ends everywhere.
RC_GTEST_PROP(DelegationModel, givesUpDelegatedTasksThatCrashTheirWorkers, ())
{
    checkCrashingHistory(Milliseconds(*rc::gen::element(10, 300, 1'500, 3'000)));
}

// The workers crash before they can confirm a start, and run other tasks beside it.
RC_GTEST_PROP(DelegationModel, givesUpDelegatedTasksThatCrashTheirWorkersAtOnce, ())
{
    checkCrashingHistory(Milliseconds(0));
}

}
