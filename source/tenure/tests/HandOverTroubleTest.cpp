#include "HandOverFixture.h"

namespace Wagtail
{

namespace
{

constexpr std::int64_t UsualProbe = 50;
constexpr std::int64_t SlowProbe = 250;

// A slow owner that hands over, or should, while it, the store or its successor is in trouble.
class HandOverTrouble : public HandOver
{
protected:
    void SetUp() override
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            announce(*instance, UsualProbe);
        }
        m_cluster.advance(Second * 6);
        m_former = m_cluster.owner();
    }

    static void announce(TestInstance &instance, std::int64_t probeMicroseconds)
    {
        InstanceEntry entry = instance.self;
        entry.probeMicroseconds = probeMicroseconds;
        instance.lease.updateDescription(serialize(entry));
    }

    static void setLate(TestInstance &instance)
    {
        instance.ownership.setLoad({Milliseconds(350), Milliseconds(600), std::chrono::microseconds(SlowProbe)});
    }

    // Makes the owner slow and waits until it has begun to hand over.
    void slowDownUntilHandOverBegins()
    {
        announce(*m_former, SlowProbe);
        m_cluster.advance(Milliseconds(500));
        setLate(*m_former);
        for (int i = 0; i < 50 && m_former->ownership.leader("fleet") != nullptr; ++i) {
            m_cluster.advance(Milliseconds(20));
        }
        ASSERT_EQ(m_former->ownership.leader("fleet"), nullptr);
    }

    void beginOutage()
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->store.down = true;
            instance->ownership.setStoreOutage(true);
        }
    }

    // Leaves a job waiting because all workers are occupied.
    void prepareWaitingJob()
    {
        m_cluster.workers.setBehaviour("wide", {Second * 4, 0, false});
        JobRecord wide = TestCluster::job("wide", 1, TestCluster::WorkerCount);
        wide.specification.steps[0].demand = {4'000, 500, 0};
        m_former->router.submit(wide, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Milliseconds(500));
        submitFullSize("job", 1);
        ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 0U);
    }

    // Submits a job whose first start reaches its worker late, also if the worker has restarted meanwhile.
    void startLate()
    {
        using CallKind = FakeWorkerGateway::CallKind;
        using UnansweredCall = FakeWorkerGateway::UnansweredCall;
        m_former->gateway.lateCallsOutliveRestarts = true;
        m_former->gateway.filter = [this](CallKind kind, const std::string &worker) -> std::optional<UnansweredCall> {
            if (kind != CallKind::Start || !m_lateWorker.empty()) {
                return std::nullopt;
            }
            m_lateWorker = worker;
            return UnansweredCall {Lateness};
        };
        m_cluster.workers.setBehaviour("job", {Second * 10, 0, false});
        m_former->router.submit(TestCluster::job("job", 1, 1), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        for (int i = 0; i < 50 && m_lateWorker.empty(); ++i) {
            m_cluster.advance(Milliseconds(20));
        }
        ASSERT_FALSE(m_lateWorker.empty());
        m_lateCapacity = m_cluster.workers.listings().at(m_lateWorker).capacity;
        m_cluster.workers.setCapacityGuard(m_lateWorker, FakeWorkers::CapacityGuard::RefusesStarts);
        m_cluster.workers.setCapacity(m_lateWorker, {0, 0, 0});
        applyWorkers();
    }

    void restartWorkerJustBeforeTheStartArrives()
    {
        m_cluster.advance(Lateness - Milliseconds(20));
        ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 1U);
        ASSERT_NE(jobs().find("job")->occurrences.at(0).steps[0].tasks[0].worker, m_lateWorker);
        m_cluster.workers.setCapacity(m_lateWorker, m_lateCapacity);
        m_cluster.restartWorker(std::stoi(m_lateWorker.substr(m_lateWorker.rfind('-') + 1)));
        m_cluster.advance(Second * 10);
    }

    // Returns the numbers of the instances that do not own the partition.
    [[nodiscard]] std::vector<int> others()
    {
        std::vector<int> numbers;
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance && instance.get() != m_former) {
                numbers.push_back(number);
            }
        }
        return numbers;
    }

    static constexpr Milliseconds Lateness {3'000};

    TestInstance *m_former = nullptr;
    std::string m_lateWorker;
    Resources m_lateCapacity;
};

}

// The owner is so slow that each answer of the store is read 1.6 s late. It took its own delay for silence of the store
// and kept the partition, though it held its lease only now and then.
TEST_F(HandOverTrouble, handsOverHoweverLateTheOwnerIs)
{
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    m_former->store.delay = Milliseconds(800);
    m_cluster.advance(Second * 6);
    m_former->ownership.setLoad({Second * 1, Second * 2, std::chrono::microseconds(SlowProbe)});
    m_cluster.advance(Second * 20);
    ASSERT_NE(m_cluster.owner(), nullptr);
    EXPECT_NE(m_cluster.owner(), m_former);
}

// The owner reads each answer of the store after it has given the call up. Its renewals keep the lease alive, and with
// it the owner key, while it does not rely on the lease and orders nothing.
TEST_F(HandOverTrouble, keepsNoOwnerKeyByRenewalsThatItDoesNotRelyOn)
{
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    constexpr int All = 1'000'000;
    m_former->store.loseAnswers = All;
    m_cluster.advance(Second * 6);
    m_former->ownership.setLoad({Second * 1, Second * 2, std::chrono::microseconds(SlowProbe)});
    m_cluster.advance(Second * 20);
    EXPECT_FALSE(m_former->lease.isHeld());
    EXPECT_NE(m_cluster.owner(), m_former);
}

// The store goes away for all instances right after a hand-over has begun. The owner neither owns nor gives back: tasks
// that it would have started in the outage wait for the end of the outage.
TEST_F(HandOverTrouble, startsTasksIfTheStoreGoesAwayAsAHandOverBegins)
{
    ASSERT_NO_FATAL_FAILURE(prepareWaitingJob());
    ASSERT_NO_FATAL_FAILURE(slowDownUntilHandOverBegins());
    beginOutage();
    m_cluster.advance(Second * 8);
    EXPECT_GE(m_cluster.workers.startCount(FirstTask), 1U);
}

// The control of the test above: without a hand-over the owner starts the task in the outage.
TEST_F(HandOverTrouble, startsTasksInAnOutageWithoutAHandOver)
{
    ASSERT_NO_FATAL_FAILURE(prepareWaitingJob());
    beginOutage();
    m_cluster.advance(Second * 8);
    EXPECT_GE(m_cluster.workers.startCount(FirstTask), 1U);
}

// A slow owner is killed and its next process, as slow as it was, takes the partition back at once, although fast
// instances are there. It has to be late for a while before it hands over.
TEST_F(HandOverTrouble, leavesThePartitionOfAKilledSlowOwnerToAFasterInstance)
{
    const int number = m_former->self.name.back() - '0';
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    m_cluster.kill(number);
    m_cluster.start(number);
    applyWorkers();
    TestInstance &next = *m_cluster.instances.at(number);
    announce(next, SlowProbe);
    setLate(next);
    m_cluster.advance(Second * 5);
    ASSERT_NE(m_cluster.owner(), nullptr);
    EXPECT_NE(m_cluster.owner(), &next);
}

// The only faster instance has just started and waits before it takes over a partition with a history, so the slow
// owner takes its partition back after a hand-over in vain.
TEST_F(HandOverTrouble, handsNothingOverToAnInstanceThatMayNotTakeOverYet)
{
    const std::vector<int> numbers = others();
    m_cluster.kill(numbers[0]);
    m_cluster.kill(numbers[1]);
    m_cluster.advance(Second * 5);
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    const std::uint64_t term = m_former->ownership.leader("fleet")->position().term;
    m_cluster.start(numbers[0]);
    applyWorkers();
    announce(*m_cluster.instances.at(numbers[0]), UsualProbe);
    m_cluster.advance(Milliseconds(200));
    setLate(*m_former);
    m_cluster.advance(Second * 3);
    ASSERT_NE(m_cluster.owner(), nullptr);
    EXPECT_TRUE(m_cluster.owner() != m_former || m_former->ownership.leader("fleet")->position().term == term)
        << "released the partition and took it back";
}

// The only faster instance is stopping: it takes nothing over any more, but its entry does not tell.
TEST_F(HandOverTrouble, handsNothingOverToAnInstanceThatStops)
{
    const std::vector<int> numbers = others();
    m_cluster.kill(numbers[0]);
    m_cluster.advance(Second * 5);
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    const std::uint64_t term = m_former->ownership.leader("fleet")->position().term;
    m_cluster.instances.at(numbers[1])->ownership.release([] {});
    setLate(*m_former);
    m_cluster.advance(Second * 3);
    ASSERT_EQ(m_cluster.owner(), m_former);
    EXPECT_EQ(m_former->ownership.leader("fleet")->position().term, term) << "released the partition and took it back";
}

// The only faster instance reaches the store but none of the workers. It takes the partition for good, because it is in
// time, and all runs end with their leases.
TEST_F(HandOverTrouble, handsNothingOverToAnInstanceThatReachesNoWorker)
{
    m_cluster.startLongRunning("job");
    const std::vector<int> numbers = others();
    m_cluster.kill(numbers[0]);
    m_cluster.instances.at(numbers[1])->gateway.cut = true;
    m_cluster.advance(Second * 5);
    ASSERT_EQ(m_cluster.owner(), m_former);
    ASSERT_EQ(m_cluster.workers.runningCount(), 1U);
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    setLate(*m_former);
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
}

// The owner has lost its lease for a moment, so that it still counts instances that are gone as candidates.
TEST_F(HandOverTrouble, handsNothingOverToInstancesThatAreGone)
{
    for (const int number : others()) {
        m_cluster.kill(number);
    }
    m_cluster.advance(Second * 5);
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    const std::uint64_t term = m_former->ownership.leader("fleet")->position().term;
    m_former->store.down = true;
    for (int i = 0; i < 200 && m_former->lease.isHeld(); ++i) {
        m_cluster.advance(Milliseconds(20));
        m_former->ownership.review();
    }
    m_former->store.down = false;
    m_cluster.advance(Milliseconds(500));
    ASSERT_TRUE(m_former->lease.isHeld());
    ASSERT_EQ(m_cluster.owner(), m_former);
    ASSERT_EQ(m_former->ownership.leader("fleet")->position().term, term);
    setLate(*m_former);
    m_cluster.advance(Second * 3);
    ASSERT_EQ(m_cluster.owner(), m_former);
    EXPECT_EQ(m_former->ownership.leader("fleet")->position().term, term) << "released the partition and took it back";
}

// A cancellation that is acknowledged while the owner hands over must hold under its successor.
TEST_F(HandOverTrouble, keepsCancellationsThatAreAcknowledgedDuringAHandOver)
{
    ASSERT_NO_FATAL_FAILURE(prepareWaitingJob());
    std::map<std::string, RouteOutcome> cancelled;
    std::map<std::string, RouteOutcome> submitted;
    constexpr int Jobs = 40;
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    for (int i = 0; i < Jobs; ++i) {
        if (i == Jobs / 2) {
            setLate(*m_former);
        }
        const std::string id = "late-" + std::to_string(i);
        m_cluster.workers.setBehaviour(id, {Milliseconds(300), 0, false});
        TestInstance &entry = *m_cluster.instances.at(i % TestCluster::InstanceCount);
        const Instant deadline = m_cluster.clock.now() + Second * 3;
        entry.router.submit(
            TestCluster::job(id, 1, 1), deadline, [&submitted, id](RouteOutcome outcome) { submitted[id] = outcome; });
        m_cluster.advance(Milliseconds(20));
        TestInstance &other = *m_cluster.instances.at((i + 1) % TestCluster::InstanceCount);
        other.router.cancel(id, deadline, [&cancelled, id](RouteOutcome outcome) { cancelled[id] = outcome; });
        m_cluster.advance(Milliseconds(20));
    }
    addWorker("worker-4");
    m_cluster.advance(Second * 15);
    EXPECT_NE(m_cluster.owner(), m_former);
    ASSERT_EQ(cancelled.size(), static_cast<std::size_t>(Jobs));
    for (const auto &[id, outcome] : cancelled) {
        if (outcome == RouteOutcome::Done) {
            EXPECT_EQ(m_cluster.workers.startCount({id, 0, 0, 0}), 0U) << id;
        }
    }
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The owner hands over while a start is on its way. The worker carries it out late, in its next incarnation, which has
// not heard of the successor yet. The task runs elsewhere by then.
TEST_F(HandOverTrouble, runsATaskOnceIfAStartIsOnItsWayDuringAHandOver)
{
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    ASSERT_NO_FATAL_FAILURE(startLate());
    setLate(*m_former);
    ASSERT_NO_FATAL_FAILURE(restartWorkerJustBeforeTheStartArrives());
    EXPECT_NE(m_cluster.owner(), m_former);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The same with an owner that stops.
TEST_F(HandOverTrouble, runsATaskOnceIfAStartIsOnItsWayDuringAPlannedStop)
{
    ASSERT_NO_FATAL_FAILURE(startLate());
    m_former->ownership.release([] {});
    ASSERT_NO_FATAL_FAILURE(restartWorkerJustBeforeTheStartArrives());
    EXPECT_NE(m_cluster.owner(), m_former);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// Submissions whose acceptance is under way when the owner hands over must run if the caller was told so, and must not
// if it was told the opposite.
TEST_F(HandOverTrouble, answersTruthfullyAboutSubmissionsThatMeetAHandOver)
{
    std::map<std::string, RouteOutcome> submitted;
    constexpr int Jobs = 60;
    announce(*m_former, SlowProbe);
    m_cluster.advance(Second);
    m_former->store.delay = Milliseconds(120);
    for (int i = 0; i < Jobs; ++i) {
        if (i == Jobs / 3) {
            setLate(*m_former);
        }
        const std::string id = "late-" + std::to_string(i);
        m_cluster.workers.setBehaviour(id, {Milliseconds(100), 0, false});
        m_cluster.instances.at(i % TestCluster::InstanceCount)
            ->router.submit(TestCluster::job(id, 1, 1), m_cluster.clock.now() + Second * 3,
                [&submitted, id](RouteOutcome outcome) { submitted[id] = outcome; });
        m_cluster.advance(Milliseconds(20));
    }
    m_cluster.advance(Second * 15);
    EXPECT_NE(m_cluster.owner(), m_former);
    ASSERT_EQ(submitted.size(), static_cast<std::size_t>(Jobs));
    for (const auto &[id, outcome] : submitted) {
        const std::size_t starts = m_cluster.workers.startCount({id, 0, 0, 0});
        EXPECT_TRUE(outcome != RouteOutcome::Done || starts == 1) << id << " was accepted and started " << starts;
        EXPECT_TRUE(outcome != RouteOutcome::Refused || starts == 0) << id << " was refused and started " << starts;
    }
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
