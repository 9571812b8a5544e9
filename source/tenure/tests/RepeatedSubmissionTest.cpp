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

}
