#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Milliseconds ShortDelay {10};
using Identity = FakeWorkers::Recovery::Identity;

// A cluster whose workers come back after a crash under the given identity.
class CrashingTask : public testing::TestWithParam<Identity>
{
protected:
    CrashingTask()
    {
        for (int i = 0; i < TestCluster::WorkerCount; ++i) {
            m_cluster.workers.setRecovery(m_cluster.workerName(i), {GetParam(), Milliseconds(3'500)});
        }
        m_cluster.advance(Second * 2);
    }

    void submit(const JobRecord &record)
    {
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }

    // Submits a job of one task that crashes each worker so long after its start.
    void submitCrashing(Milliseconds after, Milliseconds estimate = Duration)
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.duration = Duration;
        behaviour.crash = FakeWorkers::Crash {after, {}};
        m_cluster.workers.setBehaviour("crashing", behaviour);
        submit(jobOfOneTask("crashing", estimate));
    }

    [[nodiscard]] static JobRecord jobOfOneTask(const std::string &id, Milliseconds estimate)
    {
        JobRecord record = TestCluster::job(id, 1, 1);
        record.specification.steps[0].estimate = estimate;
        return record;
    }

    [[nodiscard]] const JobScheduler &jobs()
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
    }

    [[nodiscard]] const TaskState &task(const std::string &id)
    {
        return jobs().find(id)->occurrences.at(0).steps[0].tasks[0];
    }

    [[nodiscard]] JobPhase phase(const std::string &id)
    {
        return jobs().find(id)->phase;
    }

    // Crashes the worker of a job's only task by chance.
    void crashWorkerOf(const std::string &id)
    {
        m_cluster.workers.crash(task(id).worker);
    }

    [[nodiscard]] std::size_t starts(const std::string &id) const
    {
        return m_cluster.workers.startCount({id, 0, 0, 0});
    }

    // How long a run of a task lasts unless its worker crashes.
    static constexpr Milliseconds Duration {60'000};

    TestCluster m_cluster;
};

const TaskName Crashing {"crashing", 0, 0, 0};

}

TEST_P(CrashingTask, isGivenUpAfterTwoPromptCrashes)
{
    submitCrashing(ShortDelay);
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.phaseOf("crashing"), JobPhase::Failed);
    EXPECT_EQ(m_cluster.workers.crashesUnder(Crashing), 2);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// Two runs of a short task that were done before their workers restarted look the same, and the task was given up.
TEST_P(CrashingTask, isGivenUpAfterThreePromptCrashesIfItsRunsMayHaveBeenCompleted)
{
    submitCrashing(ShortDelay, Milliseconds(300));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.phaseOf("crashing"), JobPhase::Failed);
    EXPECT_EQ(m_cluster.workers.crashesUnder(Crashing), 3);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_P(CrashingTask, isGivenUpAfterThreeCrashesIfItCrashesLate)
{
    submitCrashing(Second * 3);
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.phaseOf("crashing"), JobPhase::Failed);
    EXPECT_EQ(m_cluster.workers.crashesUnder(Crashing), 3);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The worker crashes before it can confirm the start.
TEST_P(CrashingTask, isGivenUpIfNoStartIsEverConfirmed)
{
    submitCrashing(Milliseconds(0));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.phaseOf("crashing"), JobPhase::Failed);
    EXPECT_LE(m_cluster.workers.crashesUnder(Crashing), 4);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// Each owner is killed right after a crash, before it can learn of the crash.
TEST_P(CrashingTask, isGivenUpAlthoughEachOwnerIsKilledAfterACrash)
{
    submitCrashing(ShortDelay);
    std::size_t crashes = 0;
    for (int i = 0; i < 6'000; ++i) {
        m_cluster.advance(Milliseconds(20));
        const auto now = static_cast<std::size_t>(m_cluster.workers.crashesUnder(Crashing));
        TestInstance *owner = m_cluster.owner();
        if (now > crashes && owner != nullptr) {
            crashes = now;
            const int number = owner->self.name.back() - '0';
            m_cluster.kill(number);
            m_cluster.start(number);
        }
    }
    EXPECT_EQ(m_cluster.phaseOf("crashing"), JobPhase::Failed);
    // The first start is not recorded, so its crash may go unnoticed.
    EXPECT_LE(m_cluster.workers.crashesUnder(Crashing), 4);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_P(CrashingTask, doesNotTakeItsNeighboursDownWithItsJob)
{
    for (int i = 0; i < 6; ++i) {
        const std::string id = "neighbour-" + std::to_string(i);
        m_cluster.workers.setBehaviour(id, {Second * 2, 0, false});
        submit(TestCluster::job(id, 1, 2));
    }
    submitCrashing(ShortDelay);
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.phaseOf("crashing"), JobPhase::Failed);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(m_cluster.phaseOf("neighbour-" + std::to_string(i)), JobPhase::Done) << i;
    }
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A long-running task may run for weeks on machines that break now and then.
TEST_P(CrashingTask, isNotSuspectedForChanceCrashesFarApart)
{
    (void)m_cluster.startLongRunning("watcher");
    for (int i = 0; i < 4; ++i) {
        crashWorkerOf("watcher");
        m_cluster.advance(Second * 45);
        EXPECT_EQ(phase("watcher"), JobPhase::Running) << i;
        EXPECT_EQ(task("watcher").phase, RunPhase::Running) << i;
        EXPECT_TRUE(task("watcher").crashes.crashes().empty()) << i;
    }
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

TEST_P(CrashingTask, isNotSuspectedIfItsWorkersAreOnlyCutOff)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second * 60;
    m_cluster.workers.setBehaviour("job", behaviour);
    submit(TestCluster::job("job", 1, 1));
    m_cluster.advance(Second);
    for (int i = 0; i < 5; ++i) {
        const std::string worker = task("job").worker;
        ASSERT_FALSE(worker.empty()) << i;
        m_cluster.owner()->gateway.cutWorkers = {worker};
        m_cluster.advance(Second * 6);
        m_cluster.owner()->gateway.cutWorkers.clear();
        m_cluster.advance(Second * 2);
        EXPECT_EQ(phase("job"), JobPhase::Running) << i;
        EXPECT_TRUE(task("job").crashes.crashes().empty()) << i;
    }
    EXPECT_EQ(starts("job"), 6U);
}

TEST_P(CrashingTask, isNotSuspectedIfItsWorkersDrainAndLeave)
{
    // A gang's task is not moved off a draining worker.
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second * 60;
    m_cluster.workers.setBehaviour("job", behaviour);
    JobRecord record = TestCluster::job("job", 1, 1);
    record.specification.steps[0].gang = true;
    submit(record);
    m_cluster.advance(Second);
    for (int i = 0; i < 4; ++i) {
        const std::string worker = task("job").worker;
        ASSERT_FALSE(worker.empty()) << i;
        std::map<std::string, WorkerListing> listings = m_cluster.workers.listings();
        listings.at(worker).draining = true;
        m_cluster.owner()->ownership.updateWorkers(listings);
        m_cluster.advance(Second);
        m_cluster.workers.crash(worker);
        m_cluster.advance(Second * 10);
        EXPECT_EQ(phase("job"), JobPhase::Running) << i;
        EXPECT_TRUE(task("job").crashes.crashes().empty()) << i;
    }
}

// A task that had run to its end, and failed, was given up for crashes by chance before and after that.
TEST_P(CrashingTask, isNotGivenUpIfARunHasEndedByItself)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second;
    behaviour.failures = 1;
    m_cluster.workers.setBehaviour("job", behaviour);
    submit(TestCluster::job("job", 1, 1));
    const auto crashDuringStart = [this](std::size_t number) {
        for (int i = 0; i < 2'000 && starts("job") < number; ++i) {
            m_cluster.advance(ShortDelay);
        }
        m_cluster.advance(Second / 2);
        crashWorkerOf("job");
    };
    crashDuringStart(1);
    crashDuringStart(2);
    crashDuringStart(4);
    m_cluster.advance(Second * 30);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(m_cluster.workers.crashesUnder({"job", 0, 0, 0}), 3);
    EXPECT_EQ(starts("job"), 5U);
}

// While the store is away a first start goes on, but a task that lost its worker waits for its start to be recorded.
TEST_P(CrashingTask, isNotStartedAgainBeforeTheStoreKnowsOfTheStart)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second * 60;
    m_cluster.workers.setBehaviour("job", behaviour);
    submit(TestCluster::job("job", 1, 1));
    m_cluster.advance(Second);
    crashWorkerOf("job");
    m_cluster.advance(Second / 2);
    for (const auto &[number, instance] : m_cluster.instances) {
        instance->store.down = true;
    }
    m_cluster.advance(Second * 3);
    EXPECT_EQ(starts("job"), 1U);
    for (const auto &[number, instance] : m_cluster.instances) {
        instance->store.down = false;
    }
    m_cluster.advance(Second * 12);
    EXPECT_EQ(starts("job"), 2U);
}

// A stop order that got lost was never repeated for a task whose start had not been sent, so the task stayed on its
// worker.
TEST_P(CrashingTask, leavesItsWorkerIfItsJobIsCancelledBeforeTheStartIsSent)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second * 60;
    m_cluster.workers.setBehaviour("job", behaviour);
    submit(TestCluster::job("job", 1, 1));
    m_cluster.advance(Second);
    crashWorkerOf("job");
    m_cluster.advance(Second / 2);
    for (const auto &[number, instance] : m_cluster.instances) {
        instance->store.down = true;
    }
    for (int i = 0; i < 400 && task("job").phase != RunPhase::Starting; ++i) {
        m_cluster.advance(ShortDelay);
    }
    ASSERT_TRUE(task("job").awaitsRecording);
    m_cluster.owner()->gateway.loseAnswers = 1;
    m_cluster.owner()->router.cancel("job", m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Second * 10);
    EXPECT_EQ(task("job").worker, "");
}

// A task waited for ever for proof that a lost worker had crashed, because that worker had been draining when it left.
TEST_P(CrashingTask, isStartedAgainIfALostWorkerDrainsAndLeaves)
{
    for (int i = 0; i < TestCluster::WorkerCount; ++i) {
        m_cluster.workers.setRecovery(m_cluster.workerName(i), {Identity::NewName, Milliseconds(3'500)});
    }
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Duration;
    m_cluster.workers.setBehaviour("job", behaviour);
    submit(jobOfOneTask("job", Duration));
    const auto advanceToStart = [this](std::size_t number) {
        for (int i = 0; i < 2'000 && starts("job") < number; ++i) {
            m_cluster.advance(ShortDelay);
        }
        m_cluster.advance(ShortDelay * 5);
    };
    advanceToStart(1);
    crashWorkerOf("job");
    advanceToStart(2);
    const std::string worker = task("job").worker;
    m_cluster.owner()->gateway.cutWorkers = {FakeWorkers::firstNameOf(worker)};
    m_cluster.advance(Second * 14);
    ASSERT_EQ(task("job").phase, RunPhase::Waiting);
    std::map<std::string, WorkerListing> listings = m_cluster.workers.listings();
    listings.at(worker).draining = true;
    m_cluster.owner()->ownership.updateWorkers(listings);
    m_cluster.workers.crash(worker);
    m_cluster.owner()->gateway.cutWorkers.clear();
    m_cluster.advance(Second * 30);
    EXPECT_EQ(starts("job"), 3U);
}

namespace
{

// Crashes the worker of a task by chance, and the next worker at its address as soon as the owner has heard of it.
// Returns how many crashes count for the task in the end.
std::size_t crashesAfterShortSuccession(Milliseconds downtime)
{
    TestCluster cluster;
    for (int i = 0; i < TestCluster::WorkerCount; ++i) {
        cluster.workers.setRecovery(cluster.workerName(i), {Identity::NewName, downtime});
    }
    cluster.advance(Second * 2);
    FakeWorkers::Behaviour behaviour;
    behaviour.duration = Second * 60;
    cluster.workers.setBehaviour("job", behaviour);
    cluster.owner()->router.submit(
        TestCluster::job("job", 1, 1), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second);
    const JobScheduler &jobs = cluster.owner()->ownership.leader("fleet")->jobScheduler();
    const TaskState &task = jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    const std::string worker = task.worker;
    const std::string address = worker + ":1";
    cluster.workers.crash(worker);
    const auto isSuccessorHeard = [&] {
        const auto successor = jobs.workers().find(cluster.workers.nameAt(address));
        return successor != jobs.workers().end() && successor->first != worker && successor->second.hasAnswered;
    };
    for (int i = 0; i < 1'000 && !isSuccessorHeard(); ++i) {
        cluster.advance(ShortDelay);
    }
    const std::string successor = cluster.workers.nameAt(address);
    cluster.workers.setRecovery(successor, {Identity::NewName, Second * 30});
    cluster.workers.crash(successor);
    cluster.advance(Second * 20);
    return task.crashes.crashes().size();
}

}

// The former worker was asked once a second, and the next one was up for little longer than that.
TEST(SuccessorOfALostWorker, provesItsCrashAlthoughItIsGoneAgainSoon)
{
    for (Milliseconds downtime {4'000}; downtime < Milliseconds(5'600); downtime += Milliseconds(100)) {
        EXPECT_EQ(crashesAfterShortSuccession(downtime), 1U) << downtime.count();
    }
}

INSTANTIATE_TEST_SUITE_P(Recoveries, CrashingTask, testing::Values(Identity::SameName, Identity::NewName));

}
