#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
const TaskName Task {"job", 0, 0, 0};
const TaskName OtherTask {"other", 0, 0, 0};

// One worker with two cores, without any instance.
class FakeWorkersTest : public testing::Test
{
protected:
    FakeWorkersTest() : m_workers(m_clock)
    {
        m_workers.add({"worker", "worker:1", "pool", "depot", "rack", {}, {2'000, 4'000, 0}, 1, false});
    }

    void setCrash(Milliseconds after, std::optional<int> index = {})
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.duration = Second * 2;
        behaviour.crash = FakeWorkers::Crash {after, index};
        m_workers.setBehaviour("job", behaviour);
    }

    void setDemand(Milliseconds stopDuration = Milliseconds(0))
    {
        FakeWorkers::Behaviour behaviour;
        behaviour.demand = {1'000, 100, 0};
        behaviour.stopDuration = stopDuration;
        m_workers.setBehaviour("job", behaviour);
        m_workers.setBehaviour("other", behaviour);
    }

    OrderOutcome start(const TaskName &task, std::uint64_t run = 1)
    {
        constexpr std::int64_t Forever = 1'000'000'000;
        return m_workers.start(m_workers.nameAt("worker:1"), 1, {{task, run}, {}, {}, {}, Forever}).outcome;
    }

    void advance(Milliseconds duration)
    {
        m_clock.advance(duration);
        m_workers.advance();
    }

    ManualClock m_clock;
    FakeWorkers m_workers;
};

}

TEST_F(FakeWorkersTest, endEverythingSilentlyWhenATaskCrashesItsWorker)
{
    setCrash(Milliseconds(10));
    EXPECT_EQ(start(Task), OrderOutcome::Accepted);
    EXPECT_EQ(start(OtherTask), OrderOutcome::Accepted);
    advance(Milliseconds(10));
    EXPECT_EQ(m_workers.runningCount(), 0U);
    EXPECT_EQ(start(OtherTask, 2), OrderOutcome::Unknown);
    EXPECT_EQ(m_workers.crashesUnder(Task), 1);
    EXPECT_EQ(m_workers.crashesUnder(OtherTask), 1);
    advance(Second * 3);
    EXPECT_TRUE(m_workers.listings().empty());
    advance(Second);
    EXPECT_EQ(m_workers.incarnationOf("worker"), 2);
    const auto report = m_workers.report("worker", 0, {});
    ASSERT_TRUE(std::holds_alternative<RunReport>(report));
    EXPECT_TRUE(std::get<RunReport>(report).ended.empty());
}

TEST_F(FakeWorkersTest, leaveAStartUnansweredThatCrashesTheWorkerAtOnce)
{
    setCrash(Milliseconds(0));
    EXPECT_EQ(start(Task), OrderOutcome::Unknown);
    EXPECT_EQ(m_workers.crashesUnder(Task), 1);
}

TEST_F(FakeWorkersTest, crashOnlyUnderTheChosenTask)
{
    setCrash(Milliseconds(10), 1);
    start(Task);
    advance(Second);
    EXPECT_EQ(m_workers.runningCount(), 1U);
    start({"job", 0, 0, 1});
    advance(Second / 10);
    EXPECT_EQ(m_workers.runningCount(), 0U);
}

TEST_F(FakeWorkersTest, comeBackUnderANewNameAtTheSameAddress)
{
    m_workers.setRecovery("worker", {FakeWorkers::Recovery::Identity::NewName, Second});
    m_workers.crash("worker");
    EXPECT_EQ(m_workers.stop("worker", 1, {Task, 1}).outcome, OrderOutcome::Unknown);
    advance(Second);
    EXPECT_EQ(m_workers.stop("worker", 1, {Task, 1}).outcome, OrderOutcome::OtherIncarnation);
    const auto listings = m_workers.listings();
    ASSERT_EQ(listings.size(), 1U);
    EXPECT_EQ(listings.begin()->first, "worker.2");
    EXPECT_EQ(listings.begin()->second.name, "worker.2");
    EXPECT_EQ(listings.begin()->second.address, "worker:1");
    EXPECT_EQ(listings.begin()->second.incarnation, 2);
    EXPECT_EQ(start(Task), OrderOutcome::Accepted);
}

TEST_F(FakeWorkersTest, reportTheThirdStartAfterThreeCrashes)
{
    setCrash(Milliseconds(10));
    for (std::uint64_t run = 1; run <= 6; ++run) {
        EXPECT_EQ(m_workers.violations(), std::vector<std::string>()) << run;
        start(Task, run);
        advance(Milliseconds(10));
        advance(Second * 4);
    }
    EXPECT_EQ(m_workers.violations().size(), 1U);
}

TEST_F(FakeWorkersTest, allowFailureOnlyWithACause)
{
    start(Task);
    m_workers.crash("worker");
    EXPECT_FALSE(m_workers.mayFail("job"));
    advance(Second * 4);
    start(Task, 2);
    m_workers.crash("worker");
    EXPECT_TRUE(m_workers.mayFail("job"));
    EXPECT_FALSE(m_workers.mayFail("other"));
}

TEST_F(FakeWorkersTest, allowFailureOnlyOfATaskWhoseFailuresWereRead)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.failures = 3;
    m_workers.setBehaviour("job", behaviour);
    for (std::uint64_t run = 1; run <= 3; ++run) {
        start(Task, run);
        advance(behaviour.duration);
    }
    const auto answer = m_workers.report("worker", 1, {});
    ASSERT_TRUE(std::holds_alternative<RunReport>(answer));
    const auto &report = std::get<RunReport>(answer);
    EXPECT_EQ(report.ended.size(), 3U);
    EXPECT_FALSE(m_workers.mayFail("job"));
    m_workers.noteRead(report);
    EXPECT_TRUE(m_workers.mayFail("job"));
}

TEST_F(FakeWorkersTest, refuseWhatDoesNotFitOnlyIfTheyGuardTheirCapacity)
{
    setDemand();
    m_workers.setCapacity("worker", {1'500, 4'000, 0});
    m_workers.setCapacityGuard("worker", FakeWorkers::CapacityGuard::RefusesStarts);
    start(Task);
    EXPECT_EQ(start(OtherTask), OrderOutcome::NoRoom);
    m_workers.setCapacityGuard("worker", FakeWorkers::CapacityGuard::None);
    advance(Second);
    start(Task, 2);
    m_workers.setCapacity("worker", {1'500, 4'000, 0});
    advance(Second * 5);
    EXPECT_EQ(m_workers.violations(), std::vector<std::string>());
    start(Task, 3);
    EXPECT_EQ(start(OtherTask), OrderOutcome::Accepted);
    EXPECT_EQ(m_workers.violations().size(), 1U);
}

TEST_F(FakeWorkersTest, countAShrunkCapacityOnlyAfterItsNotice)
{
    setDemand();
    m_workers.setCapacity("worker", {1'000, 4'000, 0});
    advance(Milliseconds(4'900));
    start(Task);
    start(OtherTask);
    EXPECT_EQ(m_workers.violations(), std::vector<std::string>());
    advance(Second);
    start(Task, 2);
    start(OtherTask, 2);
    EXPECT_EQ(m_workers.violations().size(), 1U);
}

TEST_F(FakeWorkersTest, countTheRoomOfARunThatIsBeingStopped)
{
    setDemand(Second / 5);
    m_workers.setCapacity("worker", {1'000, 4'000, 0});
    advance(Second * 6);
    start(Task);
    m_workers.stop("worker", 1, {Task, 1});
    start(OtherTask);
    EXPECT_EQ(m_workers.violations().size(), 1U);
    advance(Second / 5);
    EXPECT_EQ(m_workers.runningCount(), 1U);
}

// The instances learn of a crash by their listings, as they do on the platform.
TEST(TestCluster, listsWorkersThatCameBackUnderANewName)
{
    TestCluster cluster;
    cluster.workers.setRecovery("worker-1", {FakeWorkers::Recovery::Identity::NewName, Second * 4});
    cluster.advance(Second * 2);
    cluster.workers.crash("worker-1");
    cluster.advance(Second * 7);
    const auto &workers = cluster.owner()->ownership.leader("fleet")->jobScheduler().workers();
    EXPECT_TRUE(workers.contains("worker-1.2"));
    EXPECT_TRUE(!workers.contains("worker-1") || !workers.at("worker-1").listed);
    EXPECT_EQ(cluster.workerName(1), "worker-1.2");
}

TEST_F(FakeWorkersTest, recordAStartBeyondTheLimitOfItsStep)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.perWorkerLimit = 1;
    behaviour.stopDuration = Second;
    m_workers.setBehaviour("job", behaviour);
    start({"job", 0, 0, 0});
    start({"job", 0, 1, 0});
    start({"job", 1, 0, 0});
    EXPECT_EQ(m_workers.violations(), std::vector<std::string>());
    m_workers.stop("worker", 1, {{"job", 0, 0, 0}, 1});
    start({"job", 0, 0, 1});
    EXPECT_EQ(m_workers.violations(),
        (std::vector<std::string> {"job.0.0.1 was started on worker beyond the limit of its step"}));
}

// A lease that an order brings applies to everything on the worker.
TEST_F(FakeWorkersTest, extendLeasesByAStartThatTheyRefuse)
{
    FakeWorkers::Behaviour behaviour;
    behaviour.lasting = true;
    m_workers.setBehaviour("job", behaviour);
    start(Task);
    advance(Milliseconds(1'500));
    m_workers.stop("worker", 1, {OtherTask, 1});
    EXPECT_EQ(start(OtherTask), OrderOutcome::Superseded);
    advance(Milliseconds(1'500));
    EXPECT_EQ(m_workers.runningCount(), 1U);
}

}
