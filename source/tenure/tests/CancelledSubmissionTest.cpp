#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Four data centres. Each of the first two has two workers and is a partition of its own.
const std::map<std::string, std::string> Regions {
    {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}};

// Jobs whose cancellation overtakes their acceptance, at an instance that did not send the submission.
class CancelledSubmission : public testing::Test
{
protected:
    static JobRecord job(const std::string &id, int tasks)
    {
        JobRecord record = TestCluster::job(id, 1, tasks);
        record.specification.steps[0].longRunning = true;
        return record;
    }

    // Submits a long-running job through a router, and returns where its outcome appears.
    static std::shared_ptr<std::optional<RouteOutcome>> submit(
        TestCluster &cluster, TestInstance &instance, const std::string &id, int tasks)
    {
        cluster.workers.setBehaviour(id, {Milliseconds(100), 0, true});
        auto outcome = std::make_shared<std::optional<RouteOutcome>>();
        instance.router.submit(
            job(id, tasks), cluster.clock.now() + Second * 3, [outcome](RouteOutcome result) { *outcome = result; });
        return outcome;
    }

    static std::shared_ptr<std::optional<RouteOutcome>> cancel(
        TestCluster &cluster, TestInstance &instance, const std::string &id)
    {
        auto outcome = std::make_shared<std::optional<RouteOutcome>>();
        instance.router.cancel(
            id, cluster.clock.now() + Second * 3, [outcome](RouteOutcome result) { *outcome = result; });
        return outcome;
    }

    // Returns an instance other than the given one.
    static TestInstance &instanceBeside(TestCluster &cluster, const TestInstance &instance)
    {
        const auto other = std::find_if(cluster.instances.begin(), cluster.instances.end(),
            [&instance](const auto &entry) { return entry.second.get() != &instance; });
        return *other->second;
    }

    static std::size_t inboxSize(TestCluster &cluster)
    {
        std::size_t size = 0;
        for (const std::string &partition : cluster.plan.partitions()) {
            size += cluster.state.list(JobKeys::inbox(partition)).entries.size();
        }
        return size;
    }

    static unsigned long startCount(TestCluster &cluster, const std::string &id)
    {
        return cluster.workers.startCount({id, 0, 0, 0});
    }
};

}

// The owner that is asked first had redirected the job to another partition, whose owner was about to accept it. The
// caller was told that there is no such job, and it ran.
TEST_F(CancelledSubmission, isNotDeniedWhileAnotherPartitionAcceptsIt)
{
    TestCluster cluster(Regions);
    cluster.advance(Second * 3);
    ASSERT_NE(cluster.ownerOf("b"), nullptr);
    // Leaves more room in the other partition.
    submit(cluster, *cluster.ownerOf("a"), "first", 2);
    cluster.advance(Second * 2);
    ASSERT_EQ(cluster.workers.runningCount(), 2U);
    TestInstance &sender = *cluster.ownerOf("b");
    sender.store.delay = Milliseconds(100);
    const auto submitted = submit(cluster, sender, "job", 2);
    cluster.advance(Milliseconds(20));
    const auto cancelled = cancel(cluster, instanceBeside(cluster, sender), "job");
    cluster.advance(Second * 2);
    ASSERT_EQ(*submitted, RouteOutcome::Done);
    ASSERT_EQ(cluster.state.read(JobKeys::home("job"))->value, "b");
    EXPECT_NE(*cancelled, RouteOutcome::NotFound);
    if (*cancelled == RouteOutcome::Done) {
        EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    }
}

// The instance had just started and knew no owner, whom it would have to ask.
TEST_F(CancelledSubmission, isNotDeniedByAnInstanceThatDoesNotKnowItsOwner)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    const int number = instanceBeside(cluster, owner).self.name.back() - '0';
    cluster.kill(number);
    owner.store.delay = Milliseconds(100);
    const auto submitted = submit(cluster, owner, "job", 1);
    cluster.advance(Milliseconds(20));
    cluster.start(number);
    const auto cancelled = cancel(cluster, *cluster.instances.at(number), "job");
    cluster.advance(Second * 2);
    ASSERT_EQ(*submitted, RouteOutcome::Done);
    EXPECT_NE(*cancelled, RouteOutcome::NotFound);
    if (*cancelled == RouteOutcome::Done) {
        EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    }
}

// Another instance, which did not hear from the owner, had sent the submission to the store, which carried it out late.
TEST_F(CancelledSubmission, isNotDeniedWhileAnotherInstanceHandsItInThroughTheStore)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    TestInstance &sender = instanceBeside(cluster, owner);
    cluster.peers.servers[owner.self.name]
        = [&owner](const HttpRequest &request, const HttpServer::Responder &respond) {
              if (request.method != "POST") {
                  return owner.api.handle(request, respond);
              }
              respond({504, {}, {}});
              return true;
          };
    sender.store.delay = Second;
    const auto submitted = submit(cluster, sender, "job", 1);
    cluster.advance(Milliseconds(700));
    ASSERT_FALSE(cluster.state.read(JobKeys::home("job")));
    const auto cancelled = cancel(cluster, owner, "job");
    cluster.advance(Second * 3);
    ASSERT_TRUE(cluster.state.read(JobKeys::home("job")));
    EXPECT_NE(*cancelled, RouteOutcome::NotFound);
    if (*cancelled == RouteOutcome::NotFound) {
        EXPECT_EQ(cluster.workers.runningCount(), 0U);
    }
}

// The submission and further copies of it reach any instance after the cancellation.
TEST_F(CancelledSubmission, isCancelledHoweverLateItArrives)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    const auto cancelled = cancel(cluster, instanceBeside(cluster, owner), "job");
    cluster.advance(Second * 30);
    ASSERT_EQ(*cancelled, RouteOutcome::Done);
    for (TestInstance *instance : {&owner, &instanceBeside(cluster, owner)}) {
        const auto submitted = submit(cluster, *instance, "job", 1);
        cluster.advance(Second * 2);
        EXPECT_EQ(*submitted, RouteOutcome::Done);
        EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    }
    EXPECT_EQ(startCount(cluster, "job"), 0U);
    EXPECT_EQ(inboxSize(cluster), 0U);
}

// The partition that accepts the job is not the one that is asked about it first.
TEST_F(CancelledSubmission, isCancelledInWhicheverPartitionAcceptsIt)
{
    TestCluster cluster(Regions);
    cluster.advance(Second * 3);
    // Leaves more room in the other partition.
    submit(cluster, *cluster.ownerOf("a"), "first", 2);
    cluster.advance(Second * 2);
    const auto cancelled = cancel(cluster, *cluster.ownerOf("b"), "job");
    cluster.advance(Second);
    ASSERT_EQ(*cancelled, RouteOutcome::Done);
    submit(cluster, *cluster.ownerOf("a"), "job", 2);
    cluster.advance(Second * 2);
    ASSERT_EQ(cluster.state.read(JobKeys::home("job"))->value, "b");
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(startCount(cluster, "job"), 0U);
}

TEST_F(CancelledSubmission, isCancelledIfTheStoreCarriesOutItsAcceptanceLate)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    TestInstance &sender = instanceBeside(cluster, owner);
    const auto server = cluster.peers.servers.extract(owner.self.name);
    sender.store.delay = Second * 20;
    submit(cluster, sender, "job", 1);
    cluster.advance(Second);
    const auto cancelled = cancel(cluster, owner, "job");
    cluster.advance(Second);
    ASSERT_EQ(*cancelled, RouteOutcome::Done);
    ASSERT_FALSE(cluster.state.read(JobKeys::home("job")));
    cluster.advance(Second * 25);
    ASSERT_TRUE(cluster.state.read(JobKeys::home("job")));
    sender.store.delay = Milliseconds(1);
    cluster.peers.servers[owner.self.name] = server.mapped();
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(startCount(cluster, "job"), 0U);
    EXPECT_EQ(inboxSize(cluster), 0U);
}

TEST_F(CancelledSubmission, isCancelledUnderTheNextOwner)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    const auto cancelled = cancel(cluster, *cluster.owner(), "job");
    cluster.advance(Second);
    ASSERT_EQ(*cancelled, RouteOutcome::Done);
    cluster.kill(cluster.owner()->self.name.back() - '0');
    cluster.advance(Second * 12);
    const auto submitted = submit(cluster, *cluster.owner(), "job", 1);
    cluster.advance(Second * 2);
    EXPECT_EQ(*submitted, RouteOutcome::Done);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(startCount(cluster, "job"), 0U);
}

// The job is accepted after the instance has read that it does not exist.
TEST_F(CancelledSubmission, isCancelledIfItIsAcceptedWhileItsCancellationIsWritten)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    TestInstance &other = instanceBeside(cluster, owner);
    other.store.delay = Milliseconds(100);
    const auto cancelled = cancel(cluster, other, "job");
    cluster.advance(Milliseconds(160));
    const auto submitted = submit(cluster, owner, "job", 1);
    cluster.advance(Second * 2);
    EXPECT_EQ(*submitted, RouteOutcome::Done);
    EXPECT_EQ(*cancelled, RouteOutcome::Done);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(inboxSize(cluster), 0U);
}

// Cancellations of jobs that never come must not pile up in the store.
TEST_F(CancelledSubmission, isCancelledInAdvanceForALimitedTime)
{
    TestCluster cluster(Regions);
    cluster.advance(Second * 3);
    const auto cancelled = cancel(cluster, *cluster.ownerOf("a"), "job");
    cluster.advance(Second);
    ASSERT_EQ(*cancelled, RouteOutcome::Done);
    EXPECT_EQ(inboxSize(cluster), cluster.plan.partitions().size());
    cluster.advance(EarlyCancellations::Lifetime + Second * 6);
    EXPECT_EQ(inboxSize(cluster), 0U);
    submit(cluster, *cluster.ownerOf("a"), "job", 1);
    cluster.advance(Second * 2);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Running);
}

TEST_F(CancelledSubmission, isDeniedWithoutAWriteOnceItWasRemoved)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance &owner = *cluster.owner();
    submit(cluster, owner, "job", 1);
    cluster.advance(Second * 2);
    cancel(cluster, owner, "job");
    cluster.advance(TestInstance::limits().statusRetention + Second * 10);
    ASSERT_FALSE(cluster.state.read(JobKeys::home("job")));
    const auto cancelled = cancel(cluster, owner, "job");
    cluster.advance(Milliseconds(100));
    EXPECT_EQ(*cancelled, RouteOutcome::NotFound);
    EXPECT_EQ(inboxSize(cluster), 0U);
}

// One transaction can't hold the inboxes of all partitions.
TEST_F(CancelledSubmission, isCancelledInAdvanceInManyPartitions)
{
    constexpr int DataCentres = 40;
    std::map<std::string, std::string> regions;
    for (int i = 0; i < DataCentres; ++i) {
        regions["centre-" + std::to_string(i)] = "wheatbelt";
    }
    TestCluster cluster(regions);
    cluster.advance(Second * 3);
    ASSERT_EQ(cluster.plan.partitions().size(), DataCentres);
    const auto cancelled = cancel(cluster, *cluster.owner(), "job");
    cluster.advance(Second);
    EXPECT_EQ(*cancelled, RouteOutcome::Done);
    EXPECT_EQ(inboxSize(cluster), DataCentres);
}

// Callers that cancel unknown jobs must not use up the store's limit of writes. None of them is told that there is no
// such job.
TEST_F(CancelledSubmission, isCancelledInAdvanceAtALimitedRate)
{
    constexpr int TooMany = WriteAllowance::MostAtOnce + 5;
    TestCluster cluster;
    cluster.advance(Second * 2);
    std::vector<std::shared_ptr<std::optional<RouteOutcome>>> outcomes;
    outcomes.reserve(TooMany);
    for (int i = 0; i < TooMany; ++i) {
        outcomes.push_back(cancel(cluster, *cluster.owner(), "job-" + std::to_string(i)));
    }
    cluster.advance(Milliseconds(100));
    for (int i = 0; i < TooMany; ++i) {
        EXPECT_EQ(*outcomes[static_cast<std::size_t>(i)],
            i < WriteAllowance::MostAtOnce ? RouteOutcome::Done : RouteOutcome::Unavailable);
    }
    cluster.advance(Second);
    const auto later = cancel(cluster, *cluster.owner(), "job-" + std::to_string(TooMany - 1));
    cluster.advance(Milliseconds(100));
    EXPECT_EQ(*later, RouteOutcome::Done);
}

}
