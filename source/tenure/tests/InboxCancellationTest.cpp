#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A cluster in which an owner accepts a job with one long-running task and loses the store's answers.
class InboxCancellation : public testing::Test
{
protected:
    InboxCancellation()
    {
        m_cluster.advance(Second * 2);
        m_cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    }

    // Submits the job to its owner. The store accepts it, but its answers are lost for about a second.
    void submitWithLostAnswers()
    {
        constexpr int LostAnswers = 8;
        TestInstance *owner = m_cluster.owner();
        ASSERT_NE(owner, nullptr);
        JobRecord record = TestCluster::job("job", 1, 1);
        record.specification.steps[0].longRunning = true;
        owner->store.loseAnswers = LostAnswers;
        owner->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Milliseconds(60));
        ASSERT_TRUE(m_cluster.state.read(JobKeys::home("job")));
    }

    // Cancels the job through an instance that does not own it.
    [[nodiscard]] std::optional<RouteOutcome> cancel()
    {
        std::optional<RouteOutcome> outcome;
        const TestInstance *owner = m_cluster.owner();
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance && instance.get() != owner) {
                instance->router.cancel(
                    "job", m_cluster.clock.now() + Second * 3, [&outcome](RouteOutcome result) { outcome = result; });
                break;
            }
        }
        m_cluster.advance(Milliseconds(100));
        return outcome;
    }

    TestCluster m_cluster;
};

}

// An acknowledged cancellation was lost if it reached the owner before the outcome of the job's acceptance did.
TEST_F(InboxCancellation, isKeptUntilTheOutcomeOfTheAcceptanceIsKnown)
{
    submitWithLostAnswers();
    ASSERT_EQ(cancel(), RouteOutcome::Done);
    m_cluster.advance(Second * 4);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, 0}), 0U);
    EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("fleet")).entries.empty());
}

// The same if the owner ends before the outcome is known.
TEST_F(InboxCancellation, isKeptForTheNextOwner)
{
    submitWithLostAnswers();
    ASSERT_EQ(cancel(), RouteOutcome::Done);
    m_cluster.kill(m_cluster.owner()->self.name.back() - '0');
    m_cluster.advance(Second * 12);
    EXPECT_EQ(m_cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, 0}), 0U);
}

// Cancellations of jobs that no longer exist must not pile up in the store.
TEST_F(InboxCancellation, isErasedIfTheJobIsUnknown)
{
    const InboxEntry cancellation {InboxRequest::Cancel, "job", std::nullopt};
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::inboxCancellation("fleet", "job"), serialize(cancellation), {}, 0}};
    ASSERT_EQ(errorOf(m_cluster.state.commit(transaction)), nullptr);
    m_cluster.advance(Second);
    EXPECT_TRUE(m_cluster.state.list(JobKeys::inbox("fleet")).entries.empty());
}

}
