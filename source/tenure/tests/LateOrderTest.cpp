#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster whose workers carry orders of the owner out late.
class LateOrder : public testing::Test
{
protected:
    using CallKind = FakeWorkerGateway::CallKind;
    using UnansweredCall = FakeWorkerGateway::UnansweredCall;

    LateOrder()
    {
        m_cluster.advance(Second * 2);
    }

    // Submits a job of which each worker takes one task.
    void submit(const std::string &id, int width, Milliseconds duration)
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.duration = duration;
        behaviour.perWorkerLimit = 1;
        m_cluster.workers.setBehaviour(id, behaviour);
        JobRecord record = TestCluster::job(id, 1, width);
        record.specification.steps[0].perWorkerLimit = 1;
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }

    [[nodiscard]] const TaskState &task(int index)
    {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        return jobs.find("job")->occurrences.at(0).steps[0].tasks[static_cast<std::size_t>(index)];
    }

    // Cuts the worker of the first task off, which ends as done there, until its leases have expired by the owner's
    // account and the order to start its next run on another worker is unanswered. Each such order takes 1.9 s.
    void loseFirstTask()
    {
        constexpr int MostSteps = 1'000;
        m_lost = task(0).worker;
        m_cluster.owner()->gateway.cutWorkers.insert(m_lost);
        m_cluster.owner()->gateway.filter = [this](CallKind kind, const std::string &worker) {
            return filterCall(kind, worker);
        };
        for (int i = 0; i < MostSteps && (task(0).worker == m_lost || !task(0).deliveryUncertain); ++i) {
            m_cluster.advance(Milliseconds(20));
        }
    }

    // Delays starts of the first task on other workers, and loses the first stop.
    std::optional<UnansweredCall> filterCall(CallKind kind, const std::string &worker)
    {
        const bool startsFirstTask
            = kind == CallKind::Start && worker != m_lost && task(0).worker == worker && task(0).run > 1;
        if (startsFirstTask) {
            return UnansweredCall {Milliseconds(1'900)};
        }
        if (kind == CallKind::Stop && m_lostStops == 0) {
            ++m_lostStops;
            return UnansweredCall();
        }
        return std::nullopt;
    }

    TestCluster m_cluster;
    std::string m_lost;
    int m_lostStops = 0;
};

}

// An earlier run ended as done while the start of the next one was on its way. The only stop was lost, the worker got
// another task of the step, and then carried the obsolete start out beside it.
TEST_F(LateOrder, ofAnObsoleteRunLeavesNoRoomForOtherTasksOfItsStep)
{
    submit("job", 100, Milliseconds(600));
    m_cluster.advance(Milliseconds(300));
    loseFirstTask();
    ASSERT_NE(task(0).worker, m_lost);
    ASSERT_EQ(task(0).phase, RunPhase::Starting);
    m_cluster.owner()->gateway.cutWorkers.clear();
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_lostStops, 1);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

// A worker had restarted under its name before a report request was sent to it that acknowledged ends of its former
// incarnation. The request was carried out seconds later and made it forget the end of a new run that nobody had read.
TEST_F(LateOrder, acknowledgesNoEndOfTheNextIncarnation)
{
    submit("earlier", 1, Milliseconds(200));
    m_cluster.advance(Second * 2);
    bool isDelayed = false;
    Instant delayedAt;
    std::string restarted;
    m_cluster.owner()->gateway.filter = [&](CallKind kind, const std::string &worker) {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        const WorkerState &state = jobs.workers().at(worker);
        const bool acknowledges = state.recordedEnd > state.acknowledgedEnd;
        const bool isUnread = isDelayed && worker == restarted && state.incarnation > 1 && !state.tasks.empty()
            && m_cluster.clock.now() < delayedAt + Milliseconds(1'650);
        if (kind == CallKind::Report && isUnread) {
            return std::optional(UnansweredCall());
        }
        if (kind != CallKind::Report || !acknowledges || isDelayed) {
            return std::optional<UnansweredCall>();
        }
        isDelayed = true;
        delayedAt = m_cluster.clock.now();
        restarted = worker;
        m_cluster.workers.restart(worker);
        return std::optional(UnansweredCall {Milliseconds(1'600)});
    };
    submit("next", 1, Milliseconds(200));
    for (int i = 0; i < 200 && !isDelayed; ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_TRUE(isDelayed);
    submit("job", 400, Milliseconds(100));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A worker was down when its owner asked it again and again, and acknowledged ends each time. Its next incarnation
// carried such a request out when it had new ends.
TEST_F(LateOrder, acknowledgesNoEndsToASilentWorker)
{
    submit("earlier", 1, Milliseconds(200));
    m_cluster.advance(Second * 2);
    m_cluster.owner()->gateway.lateCallsOutliveRestarts = true;
    std::string crashed;
    Instant crashedAt;
    m_cluster.owner()->gateway.filter = [&](CallKind kind, const std::string &worker) {
        const JobScheduler &jobs = m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
        const WorkerState &state = jobs.workers().at(worker);
        if (kind == CallKind::Report && crashed.empty() && state.recordedEnd > state.acknowledgedEnd) {
            crashed = worker;
            crashedAt = m_cluster.clock.now();
            m_cluster.workers.setRecovery(worker, {FakeWorkers::Recovery::Identity::SameName, Milliseconds(2'900)});
            m_cluster.workers.crash(worker);
        }
        const Milliseconds age = std::chrono::duration_cast<Milliseconds>(m_cluster.clock.now() - crashedAt);
        const bool isUnread = state.incarnation > 1 && !state.tasks.empty() && age < Second * 8;
        const bool isLate = age >= Second * 2 && age < Milliseconds(2'800);
        if (kind != CallKind::Report || worker != crashed || (!isUnread && !isLate)) {
            return std::optional<UnansweredCall>();
        }
        return std::optional(isLate ? UnansweredCall {Milliseconds(4'500)} : UnansweredCall());
    };
    submit("next", 1, Milliseconds(200));
    for (int i = 0; i < 200 && crashed.empty(); ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_FALSE(crashed.empty());
    m_cluster.advance(Second * 5);
    submit("job", 400, Milliseconds(100));
    m_cluster.advance(Second * 60);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A repeated start was accepted and the worker restarted under its name. The task was started elsewhere at once, and
// the next incarnation carried the first order out.
TEST_F(LateOrder, ofARunThatWasAcceptedWhenRepeatedStartsNoSecondRunAfterARestart)
{
    m_cluster.owner()->gateway.lateCallsOutliveRestarts = true;
    int starts = 0;
    m_cluster.owner()->gateway.filter = [&](CallKind kind, const std::string &) {
        const bool isLate = kind == CallKind::Start && starts++ == 0;
        return isLate ? std::optional(UnansweredCall {Milliseconds(1'500)}) : std::nullopt;
    };
    submit("job", 1, Milliseconds(3'000));
    m_cluster.advance(Milliseconds(900));
    ASSERT_EQ(task(0).phase, RunPhase::Running);
    m_cluster.workers.restart(task(0).worker);
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
