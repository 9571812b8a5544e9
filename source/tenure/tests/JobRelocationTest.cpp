#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
// Callers expect a step to start within this time if there is room for it anywhere in the fleet.
constexpr Milliseconds LongestWait {3'000};

// Four data centres. Each of the first two has two workers of 4000 millicores and is a partition of its own, as is the
// third one, which has none.
const std::map<std::string, std::string> Regions {
    {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}};

// Jobs whose partition can't run them any more, though another one can.
class JobRelocation : public testing::Test
{
protected:
    JobRelocation() : m_cluster(Regions)
    {
        m_cluster.advance(Second * 3);
    }

    static StepSpecification step(int count, std::int64_t milliCores)
    {
        StepSpecification specification;
        specification.count = count;
        specification.demand = {milliCores, 500, 0};
        specification.estimate = Second;
        return specification;
    }

    void addWorker(const std::string &name, const std::string &dataCentre, const std::set<std::string> &labels = {})
    {
        m_cluster.workers.add({name, name + ":1", "pool", dataCentre, "rack", labels, {4'000, 8'000, 0}, 1, false});
        m_cluster.advance(Second * 2);
    }

    PartitionLeader &leader(const std::string &partition)
    {
        return *m_cluster.ownerOf(partition)->ownership.leader(partition);
    }

    // Submits a job to a partition. Its tasks run for the given time.
    void submit(const std::string &partition, const std::string &id, const std::vector<StepSpecification> &steps,
        Milliseconds duration, bool advised = false)
    {
        m_cluster.workers.setBehaviour(id, {duration, 0, false});
        JobRecord record = TestCluster::job(id, 1, 1);
        record.specification.steps = steps;
        record.policy.advised = advised;
        leader(partition).submit(record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
        m_cluster.advance(Milliseconds(200));
    }

    [[nodiscard]] std::string homeOf(const std::string &id)
    {
        const std::optional<StoreEntry> entry = m_cluster.state.read(JobKeys::home(id));
        return entry ? entry->value : std::string();
    }

    // Makes the only worker with the label leave the first partition while the first step of a job runs whose second
    // one requires it. Another partition has such a worker.
    void loseTheOnlyWorkerOfAKind()
    {
        addWorker("kind-a", "a", {"kind"});
        addWorker("kind-b", "b", {"kind"});
        StepSpecification second = step(2, 1'000);
        second.after = {0};
        second.requiredLabel = "kind";
        submit("a", "job", {step(2, 1'000), second}, Second * 4);
        m_cluster.listAllWorkersExcept({"kind-a"});
        m_cluster.workers.crash("kind-a");
    }

    TestCluster m_cluster;
};

}

// The only worker of a kind in a partition left. A step that requires the kind waited for good, though another
// partition had such workers (review/7).
TEST_F(JobRelocation, followsTheOnlyWorkersOfAKind)
{
    loseTheOnlyWorkerOfAKind();
    m_cluster.advance(Second * 4 + LongestWait + Second * 8);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(homeOf("job"), "b");
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A partition is full of long batch tasks while another one is empty.
TEST_F(JobRelocation, leavesAFullPartition)
{
    submit("a", "long", {step(8, 1'000)}, Second * 60);
    submit("a", "job", {step(2, 1'000)}, Second);
    m_cluster.advance(LongestWait);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, 0}), 1U);
    EXPECT_EQ(homeOf("job"), "b");
    EXPECT_EQ(homeOf("long"), "a");
}

// A gang needs more workers at the same time than are left in its partition.
TEST_F(JobRelocation, bringsAGangWhereAllMembersFit)
{
    for (const char *name : {"more-0", "more-1"}) {
        addWorker(name, "b");
        addWorker(std::string("lost-") + name, "a");
    }
    submit("a", "long", {step(4, 3'000)}, Second * 60);
    StepSpecification gang = step(4, 3'000);
    gang.gang = true;
    submit("a", "job", {gang}, Second);
    m_cluster.listAllWorkersExcept({"lost-more-0", "lost-more-1"});
    m_cluster.workers.crash("lost-more-0");
    m_cluster.workers.crash("lost-more-1");
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(homeOf("job"), "b");
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The advice permits only workers of another partition.
TEST_F(JobRelocation, followsTheAdvice)
{
    m_cluster.advisor.suitable = {"worker-1"};
    submit("a", "job", {step(2, 1'000)}, Second, true);
    m_cluster.advance(Second * 8);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(homeOf("job"), "b");
}

// A job that waits for the next one of several due times is handed over with all of them.
TEST_F(JobRelocation, takesAllOccurrencesAlong)
{
    submit("a", "long", {step(8, 1'000)}, Second * 60);
    m_cluster.workers.setBehaviour("job", {Second, 0, false});
    JobRecord record = TestCluster::job("job", 1, 2);
    record.specification.repeatCount = 3;
    record.specification.firstRun = m_cluster.clock.wallMilliseconds() + 100;
    record.specification.interval = 4'000;
    leader("a").submit(record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The long-running tasks of a step that depends on another one find places in their partition only in part.
TEST_F(JobRelocation, delegatesTasksOfDependentSteps)
{
    StepSpecification watch = step(3, 2'000);
    watch.longRunning = true;
    watch.after = {0};
    submit("a", "job", {step(1, 1'000), watch}, Second);
    m_cluster.workers.setBehaviour("job", {Second, 0, true});
    m_cluster.advance(Second);
    m_cluster.listAllWorkersExcept({"worker-0"});
    m_cluster.workers.crash("worker-0");
    m_cluster.advance(Second * 12);
    for (int i = 0; i < 3; ++i) {
        EXPECT_GE(m_cluster.workers.startCount({"job", 0, 1, i}), 1U) << i;
    }
    EXPECT_EQ(homeOf("job"), "a");
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A job that no partition can run stays where it is and is not sent back and forth.
TEST_F(JobRelocation, staysIfNoPartitionHasAPlace)
{
    submit("a", "long-a", {step(8, 1'000)}, Second * 60);
    submit("b", "long-b", {step(8, 1'000)}, Second * 60);
    submit("a", "job", {step(2, 1'000)}, Second);
    m_cluster.advance(Second * 10);
    EXPECT_EQ(homeOf("job"), "a");
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Pending);
}

// Instances of an earlier version would not read the message.
TEST_F(JobRelocation, waitsUntilAllInstancesKnowIt)
{
    InstanceEntry old {"old", "old", "d", "coastal", "old-1", 250};
    old.messageVersion = InstanceEntry::ReturnVersion;
    ASSERT_EQ(errorOf(m_cluster.state.write({JobKeys::Instances + "old", serialize(old), std::nullopt, 0})), nullptr);
    m_cluster.advance(Second);
    submit("a", "long", {step(8, 1'000)}, Second * 60);
    submit("a", "job", {step(2, 1'000)}, Second);
    m_cluster.advance(Second * 6);
    EXPECT_EQ(homeOf("job"), "a");
    ASSERT_EQ(errorOf(m_cluster.state.erase(JobKeys::Instances + "old", std::nullopt)), nullptr);
    m_cluster.advance(LongestWait);
    EXPECT_EQ(homeOf("job"), "b");
}

// An instance that has cached the job's former partition cancels it through the store, because the owner there can't be
// reached. The cancellation follows the job.
TEST_F(JobRelocation, isFollowedByACancellation)
{
    submit("a", "long", {step(8, 1'000)}, Second * 60);
    submit("a", "job", {step(2, 1'000)}, Second * 30);
    m_cluster.advance(LongestWait);
    ASSERT_EQ(homeOf("job"), "b");
    const InboxEntry cancellation {InboxRequest::Cancel, "job", std::nullopt};
    ASSERT_EQ(errorOf(m_cluster.state.write(
                  {JobKeys::inboxCancellation("a", "job"), serialize(cancellation), std::nullopt, 0})),
        nullptr);
    m_cluster.advance(Second * 2);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("a")).entries.empty());
    EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("b")).entries.empty());
}

// Callers ask for the job and cancel it all the while it changes its partition.
TEST_F(JobRelocation, answersCallersAtAnyMoment)
{
    submit("a", "long", {step(8, 1'000)}, Second * 60);
    submit("a", "job", {step(2, 1'000)}, Second * 30);
    std::map<RouteOutcome, int> outcomes;
    for (int i = 0; i < 40; ++i) {
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->router.status("job", m_cluster.clock.now() + Second * 3,
                [&outcomes](RouteOutcome outcome, JobPhase) { ++outcomes[outcome]; });
        }
        m_cluster.advance(Milliseconds(100));
    }
    m_cluster.advance(Second * 3);
    EXPECT_EQ(homeOf("job"), "b");
    EXPECT_EQ(outcomes[RouteOutcome::Done], 120);
    std::optional<RouteOutcome> cancelled;
    m_cluster.instances[0]->router.cancel(
        "job", m_cluster.clock.now() + Second * 3, [&cancelled](RouteOutcome outcome) { cancelled = outcome; });
    m_cluster.advance(Second * 2);
    EXPECT_EQ(cancelled, RouteOutcome::Done);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
}

// The owners of both partitions are killed at any moment around the hand-over.
TEST_F(JobRelocation, happensOnceWhateverOwnersAreKilled)
{
    constexpr int Moments = 20;
    for (int moment = 0; moment < Moments; ++moment) {
        for (const char *killed : {"a", "b"}) {
            TestCluster cluster(Regions);
            cluster.advance(Second * 3);
            cluster.workers.setBehaviour("long", {Second * 20, 0, false});
            cluster.workers.setBehaviour("job", {Second, 0, false});
            JobRecord record = TestCluster::job("long", 1, 8);
            cluster.ownerOf("a")->ownership.leader("a")->submit(
                record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
            cluster.advance(Milliseconds(200));
            record = TestCluster::job("job", 1, 2);
            cluster.ownerOf("a")->ownership.leader("a")->submit(
                record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
            cluster.advance(Milliseconds(1'900) + Milliseconds(40) * moment);
            const int number = cluster.ownerOf(killed)->self.name.back() - '0';
            cluster.kill(number);
            cluster.advance(Second);
            cluster.start(number);
            cluster.advance(Second * 30);
            EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Done) << killed << " " << moment;
            EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>()) << killed << " " << moment;
        }
    }
}

// A submission through the store was still in the inbox of the former partition when its owner ended. The next owner
// accepted the job once more.
TEST_F(JobRelocation, leavesNoSubmissionBehind)
{
    submit("a", "long", {step(8, 1'000)}, Second * 60);
    submit("a", "job", {step(2, 1'000)}, Second * 30);
    m_cluster.advance(Milliseconds(1'500));
    // Messages of jobs that have left again are erased before the submission, because their keys sort before its key.
    constexpr int Messages = 3'000;
    for (int i = 0; i < Messages; ++i) {
        const std::string id = "gone-" + std::to_string(i);
        const InboxEntry message {InboxRequest::Move, id, std::nullopt, {}, "b"};
        (void)m_cluster.state.write({JobKeys::inboxMove("a", id, "b", "0.0"), serialize(message), std::nullopt, 0});
    }
    const InboxEntry submission {InboxRequest::Submit, "job", TestCluster::job("job", 1, 2)};
    (void)m_cluster.state.write({JobKeys::inboxSubmission("a", "job"), serialize(submission), std::nullopt, 0});
    for (int i = 0; i < 100 && homeOf("job") == "a"; ++i) {
        m_cluster.advance(Milliseconds(20));
    }
    ASSERT_EQ(homeOf("job"), "b");
    const int number = m_cluster.ownerOf("a")->self.name.back() - '0';
    m_cluster.kill(number);
    m_cluster.start(number);
    m_cluster.advance(Second * 15);
    EXPECT_EQ(leader("a").jobScheduler().find("job"), nullptr);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The store is away while the job is handed over, and the outcome of the transaction is unknown.
TEST_F(JobRelocation, happensOnceAlthoughTheStoreDoesNotAnswer)
{
    constexpr int Moments = 20;
    for (int moment = 0; moment < Moments; ++moment) {
        TestCluster cluster(Regions);
        cluster.advance(Second * 3);
        cluster.workers.setBehaviour("long", {Second * 20, 0, false});
        cluster.workers.setBehaviour("job", {Second, 0, false});
        TestInstance *owner = cluster.ownerOf("a");
        owner->ownership.leader("a")->submit(
            TestCluster::job("long", 1, 8), PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
        cluster.advance(Milliseconds(200));
        owner->ownership.leader("a")->submit(
            TestCluster::job("job", 1, 2), PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
        cluster.advance(Milliseconds(1'900) + Milliseconds(40) * moment);
        owner->store.down = true;
        cluster.advance(Second * 2);
        owner->store.down = false;
        cluster.advance(Second * 30);
        EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Done) << moment;
        EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>()) << moment;
    }
}

// A partition without workers accepted what others could run, and it stayed pending.
TEST_F(JobRelocation, isNotNeededForSubmissionsToAPartitionWithoutWorkers)
{
    std::optional<AcceptResult> result;
    leader("c").submit(TestCluster::job("job", 1, 1), PartitionLeader::Placement::AnyPartition,
        [&result](const AcceptResult &answer) { result = answer; });
    m_cluster.advance(Second);
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->outcome, AcceptOutcome::Redirected);
}

// Such a job may come through the store, while the partition has no owner.
TEST_F(JobRelocation, leavesAPartitionWithoutWorkers)
{
    submit("c", "job", {step(2, 1'000)}, Second);
    m_cluster.advance(LongestWait + Second * 2);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Done);
}

}
