#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster in which copies of one submission overtake each other.
class RepeatedSubmission : public testing::Test
{
protected:
    RepeatedSubmission()
    {
        m_cluster.advance(Second * 2);
        m_cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    }

    // Returns a job with so many long-running tasks of one core each.
    static JobRecord job(int tasks)
    {
        JobRecord record = TestCluster::job("job", 1, tasks);
        record.specification.steps[0].longRunning = true;
        return record;
    }

    // Submits the job to its owner, and returns where its outcome appears.
    std::shared_ptr<std::optional<AcceptOutcome>> submitToOwner(const JobRecord &record)
    {
        auto outcome = std::make_shared<std::optional<AcceptOutcome>>();
        m_cluster.owner()->ownership.leader("fleet")->submit(record, PartitionLeader::Placement::AnyPartition,
            [outcome](const AcceptResult &result) { *outcome = result.outcome; });
        return outcome;
    }

    // Submits the job through a router, and returns where its outcome appears.
    std::shared_ptr<std::optional<RouteOutcome>> submit(TestInstance &instance)
    {
        auto outcome = std::make_shared<std::optional<RouteOutcome>>();
        instance.router.submit(
            job(1), m_cluster.clock.now() + Second * 3, [outcome](RouteOutcome result) { *outcome = result; });
        return outcome;
    }

    // Cancels the job through a router, and returns where the outcome appears.
    std::shared_ptr<std::optional<RouteOutcome>> cancel(TestInstance &instance)
    {
        auto outcome = std::make_shared<std::optional<RouteOutcome>>();
        instance.router.cancel(
            "job", m_cluster.clock.now() + Second * 3, [outcome](RouteOutcome result) { *outcome = result; });
        return outcome;
    }

    // Returns an instance that does not own the partition.
    TestInstance &otherInstance()
    {
        const TestInstance *owner = m_cluster.owner();
        const auto other = std::find_if(m_cluster.instances.begin(), m_cluster.instances.end(),
            [owner](const auto &entry) { return entry.second.get() != owner; });
        return *other->second;
    }

    TestCluster m_cluster;
};

}

// The owner counted the first copy's demand against the second one, refused that, and ran the job.
TEST_F(RepeatedSubmission, isNotRefusedBecauseOfTheRoomThatTheFirstCopyTakes)
{
    constexpr int MostOfTheCapacity = 10;
    const auto first = submitToOwner(job(MostOfTheCapacity));
    const auto second = submitToOwner(job(MostOfTheCapacity));
    m_cluster.advance(Second);
    EXPECT_EQ(*first, AcceptOutcome::Accepted);
    EXPECT_EQ(*second, AcceptOutcome::Accepted);
}

// The owner told that it had sent nothing to a store that does not answer, while the first copy was on its way there.
TEST_F(RepeatedSubmission, waitsForTheFirstCopyWhileTheStoreDoesNotAnswer)
{
    constexpr int LostAnswers = 8;
    m_cluster.owner()->store.loseAnswers = LostAnswers;
    const auto first = submitToOwner(job(1));
    m_cluster.advance(Milliseconds(60));
    ASSERT_TRUE(m_cluster.state.read(JobKeys::home("job")));
    const auto second = submitToOwner(job(1));
    EXPECT_EQ(*second, std::nullopt);
    m_cluster.advance(Second * 3);
    EXPECT_EQ(*first, AcceptOutcome::Accepted);
    EXPECT_EQ(*second, AcceptOutcome::Accepted);
}

TEST_F(RepeatedSubmission, hasAnUnknownOutcomeIfTheTermEndsBeforeTheFirstOneIsKnown)
{
    m_cluster.owner()->store.down = true;
    const auto first = submitToOwner(job(1));
    const auto second = submitToOwner(job(1));
    m_cluster.kill(m_cluster.owner()->self.name.back() - '0');
    EXPECT_EQ(*first, AcceptOutcome::Unknown);
    EXPECT_EQ(*second, AcceptOutcome::Unknown);
}

// A caller without an answer cancelled its job and was told that there is none. Then the job was accepted.
TEST_F(RepeatedSubmission, isCancelledIfTheCancellationOvertakesItsAcceptance)
{
    TestInstance &owner = *m_cluster.owner();
    owner.store.delay = Milliseconds(100);
    const auto submitted = submit(owner);
    m_cluster.advance(Milliseconds(20));
    const auto cancelled = cancel(owner);
    m_cluster.advance(Second * 2);
    EXPECT_EQ(*submitted, RouteOutcome::Done);
    EXPECT_EQ(*cancelled, RouteOutcome::Done);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
}

// The same through an instance that does not own the partition.
TEST_F(RepeatedSubmission, isCancelledThroughAnotherInstanceIfTheCancellationOvertakesItsAcceptance)
{
    m_cluster.owner()->store.delay = Milliseconds(100);
    const auto submitted = submit(otherInstance());
    m_cluster.advance(Milliseconds(20));
    const auto cancelled = cancel(otherInstance());
    m_cluster.advance(Second * 2);
    EXPECT_EQ(*submitted, RouteOutcome::Done);
    EXPECT_EQ(*cancelled, RouteOutcome::Done);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
}

// An instance told the second copy that nothing was done, while the owner was still about to accept the first one.
TEST_F(RepeatedSubmission, isNotReportedAsWithoutEffectWhileTheFirstCopyIsUnderWay)
{
    TestInstance *owner = m_cluster.owner();
    std::vector<HttpRequest> received;
    m_cluster.peers.servers[owner->self.name]
        = [&received](const HttpRequest &request, const HttpServer::Responder &respond) {
              received.push_back(request);
              if (received.size() > 1) {
                  respond({503, {}, {}});
              }
              return true;
          };
    const auto first = submit(otherInstance());
    m_cluster.advance(Milliseconds(20));
    const auto second = submit(otherInstance());
    m_cluster.advance(Milliseconds(20));
    ASSERT_EQ(received.size(), 2U);
    EXPECT_EQ(*second, RouteOutcome::Unknown);
    m_cluster.advance(Second * 2);
    EXPECT_EQ(*first, RouteOutcome::Unknown);
    // Whoever asks later is told the same, because the owner may still accept the first copy.
    const auto third = submit(otherInstance());
    m_cluster.advance(Milliseconds(20));
    EXPECT_EQ(*third, RouteOutcome::Unknown);
    owner->api.handle(received.front(), [](const HttpResponse &) {});
    m_cluster.advance(Second);
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
}

// A caller without an answer cancelled its job, whose owner did not answer either, and was told that there is none.
// Then the owner accepted the job.
TEST_F(RepeatedSubmission, isNotDeniedWhileItsOwnerIsNotHeard)
{
    TestInstance *owner = m_cluster.owner();
    m_cluster.peers.servers[owner->self.name] = [](const HttpRequest &, const HttpServer::Responder &respond) {
        respond({504, {}, {}});
        return true;
    };
    const auto cancelled = cancel(otherInstance());
    m_cluster.advance(Second);
    EXPECT_EQ(*cancelled, RouteOutcome::Unknown);
}

// The same if the caller asks for the state, and the instance itself has sent the submission.
TEST_F(RepeatedSubmission, isNotDeniedByTheInstanceThatSentIt)
{
    TestInstance *owner = m_cluster.owner();
    m_cluster.peers.servers[owner->self.name] = [](const HttpRequest &request, const HttpServer::Responder &respond) {
        if (request.method == "GET") {
            respond({404, {}, {}});
        }
        return true;
    };
    const auto submitted = submit(otherInstance());
    m_cluster.advance(Milliseconds(20));
    std::optional<RouteOutcome> state;
    otherInstance().router.status(
        "job", m_cluster.clock.now() + Second * 3, [&state](RouteOutcome outcome, JobPhase) { state = outcome; });
    m_cluster.advance(Milliseconds(200));
    EXPECT_EQ(state, RouteOutcome::Unknown);
    EXPECT_EQ(*submitted, std::nullopt);
}

// An instance told that nothing was done as soon as none of the copies that it had sent could have an effect. It knows
// nothing of the copies at other instances.
TEST_F(RepeatedSubmission, isNotReportedAsWithoutEffectIfItsOwnerCannotReachTheStore)
{
    m_cluster.peers.servers[m_cluster.owner()->self.name]
        = [](const HttpRequest &, const HttpServer::Responder &respond) {
              respond({503, {}, {}});
              return true;
          };
    for (int i = 0; i < 2; ++i) {
        const auto outcome = submit(otherInstance());
        m_cluster.advance(Milliseconds(20));
        EXPECT_EQ(*outcome, RouteOutcome::Unknown);
    }
}

// The owner hears no answer of the store, which has the job. The cancellation would wait for as long as that lasts.
TEST_F(RepeatedSubmission, isCancelledThroughTheStoreWhileItsOwnerHearsNoAnswerOfIt)
{
    constexpr int LostAnswers = 8;
    m_cluster.owner()->store.loseAnswers = LostAnswers;
    const auto submitted = submit(*m_cluster.owner());
    m_cluster.advance(Milliseconds(60));
    ASSERT_TRUE(m_cluster.state.read(JobKeys::home("job")));
    const auto cancelled = cancel(otherInstance());
    m_cluster.advance(Milliseconds(100));
    EXPECT_EQ(*submitted, std::nullopt);
    EXPECT_EQ(*cancelled, RouteOutcome::Done);
    m_cluster.advance(Second * 3);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(m_cluster.workers.runningCount(), 0U);
}

}
