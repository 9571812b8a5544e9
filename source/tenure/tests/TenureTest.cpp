#include "TenureWorld.h"

#include "tenure/StoreRelay.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Answers calls as a test says; calls to the store and to peers are told apart by their host.
class ScriptedClient final : public HttpClient
{
public:
    void send(HttpCall call, Handler handler) override
    {
        const bool direct = call.url.starts_with("http://store/");
        calls.push_back(std::move(call));
        handler(direct ? toStore : toPeer);
    }

    std::vector<HttpCall> calls;
    HttpAnswer toStore;
    HttpAnswer toPeer;
};

HttpAnswer answered(int status)
{
    HttpAnswer answer;
    answer.delivery = Delivery::Answered;
    answer.status = status;
    return answer;
}

HttpAnswer lost()
{
    HttpAnswer answer;
    answer.delivery = Delivery::Lost;
    return answer;
}

class RelayTest : public testing::Test
{
protected:
    RelayTest()
        : m_scheduler(m_clock)
        , m_relay({m_clock, m_scheduler, m_client, [] { return HttpCall {"GET", "http://store/probe", {}, {}, 100}; },
              [] {
                  return std::vector<std::string> {"peer:1"};
              },
              [](std::string_view, const std::string &, const Json &) {}})
    {
    }

    HttpAnswer send()
    {
        HttpAnswer result;
        m_relay.send({"POST", "http://store/write", {}, {}, 100},
            [&result](HttpAnswer answer) { result = std::move(answer); });
        return result;
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler;
    ScriptedClient m_client;
    StoreRelay m_relay;
};

}

TEST_F(RelayTest, takesTheWayThroughANeighbour)
{
    m_client.toStore = answered(503);
    m_client.toPeer = answered(200);
    EXPECT_EQ(send().status, 200);
    EXPECT_EQ(m_client.calls.back().url, "http://peer:1/v1/store-relay");
}

// An unanswered write may still arrive, whatever a neighbour's attempt was told.
TEST_F(RelayTest, keepsAnUnansweredCallUncertain)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(503);
    EXPECT_EQ(send().delivery, Delivery::Lost);
}

TEST_F(RelayTest, confirmsAnOutageOnlyWithTheOthers)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(200);
    m_relay.survey();
    EXPECT_FALSE(m_relay.isOutageConfirmed());
    m_clock.advance(Second);
    m_client.toPeer = answered(502);
    m_relay.survey();
    EXPECT_TRUE(m_relay.isOutageConfirmed());
    m_clock.advance(Second * 5);
    EXPECT_FALSE(m_relay.isOutageConfirmed());
}

// The store ended the tenure, but the instance's view of the cluster still names it as the owner.
TEST(PartitionSeats, doNotBeginAgainUnderAnEndedToken)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    const StoreRevision token = owner->seats.keeper("wheatbelt")->position().ownerRevision;
    ASSERT_EQ(errorOf(world.state.erase(JobKeys::owner("wheatbelt"), std::nullopt)), nullptr);
    owner->seats.keeper("wheatbelt")->onDeposed();
    for (int i = 0; i < 100; ++i) {
        world.advance(Milliseconds(20));
        const JobKeeper *keeper = owner->seats.keeper("wheatbelt");
        if (keeper != nullptr) {
            EXPECT_GT(keeper->position().ownerRevision, token);
        }
    }
    ASSERT_NE(world.owner(), nullptr);
}

// A listing shows a job and its cancellation at once.
TEST(JobKeeper, appliesASubmissionBeforeItsCancellation)
{
    TenureWorld world;
    world.advance(Second * 2);
    const JobRecord record = TenureWorld::job("job", 1, 1);
    world.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    const InboxEntry submission {InboxRequest::Submit, "job", record};
    const InboxEntry cancellation {InboxRequest::Cancel, "job", std::nullopt};
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::inboxCancellation("wheatbelt", "job"), serialize(cancellation), {}, 0},
        {JobKeys::inboxSubmission("wheatbelt", "job"), serialize(submission), {}, 0},
        {JobKeys::jobs("wheatbelt") + "job", serialize(record), {}, 0},
        {JobKeys::home("job"), "wheatbelt", {}, 0}};
    for (int i = 0; i < TenureWorld::InstanceCount; ++i) {
        world.kill(i);
    }
    ASSERT_EQ(errorOf(world.state.commit(transaction)), nullptr);
    world.start(0);
    world.advance(Second * 12);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(world.workers.runningCount(), 0U);
    EXPECT_TRUE(world.state.list(JobKeys::inbox("wheatbelt")).entries.empty());
}

// After a take-over the failures of one task are listed by several workers in any order.
TEST(JobScheduler, countsFailuresInAnyOrder)
{
    TenureWorld world;
    world.advance(Second * 2);
    world.workers.setBehaviour("job", {Milliseconds(100), 1'000, false});
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    owner->router.submit(TenureWorld::job("job", 1, 1), world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Milliseconds(60));
    // The ends can't be recorded, so that all failures are listed again to the next owner.
    owner->store.down = true;
    world.advance(Second * 20);
    owner->store.down = false;
    world.advance(Second * 10);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Failed);
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
}

TEST(JobScheduler, emptiesDrainingWorkers)
{
    TenureWorld world;
    world.advance(Second * 2);
    world.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    JobRecord record = TenureWorld::job("job", 1, 1);
    record.specification.steps[0].lasting = true;
    owner->router.submit(record, world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second * 2);
    ASSERT_EQ(world.workers.runningCount(), 1U);
    std::map<std::string, WorkerListing> listings = world.workers.listings();
    const TaskName task {"job", 0, 0, 0};
    const JobScheduler &jobs = owner->seats.keeper("wheatbelt")->jobs();
    const std::string before = jobs.find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    listings.at(before).draining = true;
    owner->seats.updateWorkers(listings);
    world.advance(Second * 2);
    const TaskState &state = jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    EXPECT_NE(state.worker, before);
    EXPECT_EQ(state.phase, RunPhase::Running);
    EXPECT_EQ(world.workers.startCount(task), 2U);
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
}

}
