#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Milliseconds Moment {60};

// A cluster in which a submission is refused, because its long-running tasks would take too much of the workers.
class RefusedSubmission : public testing::Test
{
protected:
    RefusedSubmission()
    {
        m_cluster.advance(Second * 2);
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance.get() != m_cluster.owner()) {
                m_others.push_back(instance.get());
            }
        }
        m_cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
        m_cluster.workers.setBehaviour("large", {Milliseconds(100), 0, true});
    }

    static JobRecord longRunning(const std::string &id, int tasks)
    {
        JobRecord record = TestCluster::job(id, 1, tasks);
        record.specification.steps[0].longRunning = true;
        return record;
    }

    // Submits a job that doesn't fit beside the large one, and returns where its outcome appears.
    std::shared_ptr<std::optional<RouteOutcome>> submit(TestInstance &instance)
    {
        auto outcome = std::make_shared<std::optional<RouteOutcome>>();
        instance.router.submit(longRunning("job", TasksOfJob), m_cluster.clock.now() + Second * 3,
            [outcome](RouteOutcome result) { *outcome = result; });
        return outcome;
    }

    void takeWorkers()
    {
        m_cluster.owner()->router.submit(
            longRunning("large", TasksOfLargeJob), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Second);
    }

    void freeWorkers()
    {
        m_cluster.owner()->router.cancel("large", m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Second);
    }

    // Makes the owner answer submissions with a status as if it was about to be replaced.
    void silenceOwner()
    {
        m_cluster.peers.servers[m_cluster.owner()->self.name]
            = [](const HttpRequest &, const HttpServer::Responder &respond) {
                  respond({504, {}, {}});
                  return true;
              };
    }

    void hearOwner()
    {
        TestInstance *owner = m_cluster.owner();
        m_cluster.peers.servers[owner->self.name]
            = [owner](const HttpRequest &request, const HttpServer::Responder &respond) {
                  return owner->api.handle(request, respond);
              };
    }

    // Returns whether a partition has accepted the job.
    bool isAccepted()
    {
        const auto home = m_cluster.state.read(JobKeys::home("job"));
        return home && !JobKeys::isRefused(home->value);
    }

    static constexpr int TasksOfJob = 4;
    static constexpr int TasksOfLargeJob = 10;
    TestCluster m_cluster;
    std::vector<TestInstance *> m_others;
};

}

// The owner refused a copy while another instance handed the first one in through the store. The caller believed the
// refusal, and the job ran.
TEST_F(RefusedSubmission, isNotAcceptedFromACopyUnderWayToTheStore)
{
    takeWorkers();
    silenceOwner();
    m_others[0]->store.delay = Second;
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Milliseconds(700));
    hearOwner();
    const auto second = submit(*m_others[1]);
    m_cluster.advance(Milliseconds(200));
    ASSERT_EQ(*second, RouteOutcome::Refused);
    m_cluster.advance(Second * 5);
    EXPECT_FALSE(isAccepted());
    EXPECT_EQ(*first, RouteOutcome::Unknown);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, 0}), 0U);
}

// An instance received a copy, tried the owner for a while and found it when another copy was refused and room was free
// again.
TEST_F(RefusedSubmission, isNotAcceptedFromACopyThatIsOlderThanTheRefusal)
{
    takeWorkers();
    silenceOwner();
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Moment);
    const auto second = submit(*m_cluster.owner());
    m_cluster.advance(Moment);
    ASSERT_EQ(*second, RouteOutcome::Refused);
    m_cluster.owner()->router.cancel("large", m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Milliseconds(100));
    hearOwner();
    m_cluster.advance(Second * 3);
    EXPECT_FALSE(isAccepted());
    EXPECT_EQ(*first, RouteOutcome::Unknown);
}

// A caller that comes back after a refusal is served when there is room.
TEST_F(RefusedSubmission, isAcceptedWhenTheCallerComesBackAtAnyInstance)
{
    takeWorkers();
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Second / 2);
    ASSERT_EQ(*first, RouteOutcome::Refused);
    const auto second = submit(*m_others[1]);
    m_cluster.advance(Second / 2);
    ASSERT_EQ(*second, RouteOutcome::Refused);
    freeWorkers();
    const auto third = submit(*m_others[0]);
    m_cluster.advance(Second);
    EXPECT_EQ(*third, RouteOutcome::Done);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Running);
}

// The same after another owner has taken over, which finds the mark when it accepts the job.
TEST_F(RefusedSubmission, isAcceptedByANewOwnerOnceTheCallerHasComeBackTwice)
{
    takeWorkers();
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Moment);
    ASSERT_EQ(*first, RouteOutcome::Refused);
    freeWorkers();
    const int former = m_cluster.owner()->self.name.back() - '0';
    m_cluster.kill(former);
    m_cluster.advance(Second * 20);
    ASSERT_NE(m_cluster.owner(), nullptr);
    const auto second = submit(*m_cluster.owner());
    m_cluster.advance(Second);
    EXPECT_EQ(*second, RouteOutcome::Unknown);
    const auto third = submit(*m_cluster.owner());
    m_cluster.advance(Second);
    EXPECT_EQ(*third, RouteOutcome::Done);
}

// An instance without a configuration refused a copy while another instance handed the first one in.
TEST_F(RefusedSubmission, isNotAcceptedFromACopyUnderWayWhenAnInstanceWithoutConfigurationRefusesIt)
{
    silenceOwner();
    m_others[0]->store.delay = Second;
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Milliseconds(700));
    std::optional<RouteOutcome> second;
    m_others[1]->router.refuse("job", [&second](RouteOutcome outcome) { second = outcome; });
    m_cluster.advance(Moment);
    ASSERT_EQ(second, RouteOutcome::Refused);
    m_cluster.advance(Second * 5);
    EXPECT_FALSE(isAccepted());
    EXPECT_EQ(*first, RouteOutcome::Unknown);
}

TEST_F(RefusedSubmission, isNotRefusedByAnInstanceWithoutConfigurationIfItIsAcceptedOrTheStoreIsAway)
{
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Second);
    ASSERT_EQ(*first, RouteOutcome::Done);
    std::optional<RouteOutcome> second;
    m_others[1]->router.refuse("job", [&second](RouteOutcome outcome) { second = outcome; });
    m_cluster.advance(Moment);
    EXPECT_EQ(second, RouteOutcome::Done);
    m_others[1]->store.down = true;
    std::optional<RouteOutcome> third;
    m_others[1]->router.refuse("other", [&third](RouteOutcome outcome) { third = outcome; });
    m_cluster.advance(Second * 5);
    EXPECT_EQ(third, RouteOutcome::Unknown);
}

// A mark is no home partition: nobody may look for the job there.
TEST_F(RefusedSubmission, isUnknownToThoseWhoAskForItAndCanBeCancelled)
{
    takeWorkers();
    const auto first = submit(*m_others[0]);
    m_cluster.advance(Moment);
    ASSERT_EQ(*first, RouteOutcome::Refused);
    std::optional<RouteOutcome> state;
    m_others[1]->router.status(
        "job", m_cluster.clock.now() + Second * 3, [&state](RouteOutcome outcome, JobPhase) { state = outcome; });
    m_cluster.advance(Moment * 2);
    EXPECT_EQ(state, RouteOutcome::NotFound);
    std::optional<RouteOutcome> cancelled;
    m_others[1]->router.cancel(
        "job", m_cluster.clock.now() + Second * 3, [&cancelled](RouteOutcome outcome) { cancelled = outcome; });
    m_cluster.advance(Second);
    EXPECT_EQ(cancelled, RouteOutcome::Done);
}

// Marks don't pile up in the store, and the mark of a job that was accepted later is not erased with its home.
TEST_F(RefusedSubmission, leavesNoMarkBehindAndNoJobWithoutHome)
{
    takeWorkers();
    for (const char *id : {"job", "gone"}) {
        std::optional<RouteOutcome> outcome;
        m_others[0]->router.refuse(id, [&outcome](RouteOutcome result) { outcome = result; });
        m_cluster.advance(Moment);
        ASSERT_EQ(outcome, RouteOutcome::Refused);
    }
    freeWorkers();
    submit(*m_others[1]);
    m_cluster.advance(Second);
    const auto accepted = submit(*m_others[1]);
    m_cluster.advance(Second);
    ASSERT_EQ(*accepted, RouteOutcome::Done);
    m_cluster.advance(SubmissionRefusals::MarkLifetime + Second * 20);
    EXPECT_FALSE(m_cluster.state.read(JobKeys::home("gone")));
    EXPECT_TRUE(isAccepted());
}

// Refusals of a burst share transactions. One for each would have taken two seconds.
TEST_F(RefusedSubmission, takesFewTransactionsForManyRefusals)
{
    constexpr int Refusals = 33;
    m_others[0]->store.delay = Moment;
    int refused = 0;
    for (int i = 0; i < Refusals; ++i) {
        m_others[0]->router.refuse("job-" + std::to_string(i),
            [&refused](RouteOutcome outcome) { refused += outcome == RouteOutcome::Refused ? 1 : 0; });
    }
    m_cluster.advance(Second / 2);
    EXPECT_EQ(refused, Refusals);
}

}
