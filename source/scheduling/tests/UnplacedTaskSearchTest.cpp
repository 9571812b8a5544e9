#include "scheduling/UnplacedTaskSearch.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// A job with a long-running task that waits in a partition with one worker.
class UnplacedTaskSearchTest : public testing::Test
{
protected:
    UnplacedTaskSearchTest()
    {
        m_job.specification.id = "job";
        m_job.policy.pool = "pool";
        StepSpecification step;
        step.count = 1;
        step.demand = {1'000, 500, 0};
        step.longRunning = true;
        m_job.specification.steps = {step};
        m_step = &createOccurrence(m_job, 0).steps[0];
        m_step->unplacedSince = m_start;
        WorkerState &worker = m_workers["worker"];
        worker.listing = {"worker", "worker:1", "pool", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false};
        worker.listed = true;
        worker.hasAnswered = true;
        worker.incarnation = 1;
        worker.used = {4'000, 500, 0};
        worker.usedByLongRunning = worker.used;
    }

    [[nodiscard]] bool findsAfter(std::int64_t milliseconds) const
    {
        const UnplacedTaskSearch search(m_workers, {}, m_start + Milliseconds(milliseconds));
        return search.search(*m_step) == UnplacedStep {"job", 0, 1, m_job.ownedElsewhere};
    }

    const Instant m_start = Instant() + Milliseconds(10'000);
    JobState m_job;
    StepState *m_step = nullptr;
    std::map<std::string, WorkerState> m_workers;
};

}

TEST_F(UnplacedTaskSearchTest, findsATaskSoonWhenNoBatchTaskCanMakeRoom)
{
    EXPECT_FALSE(findsAfter(200));
    EXPECT_TRUE(findsAfter(300));
}

TEST_F(UnplacedTaskSearchTest, leavesATaskASecondToTheEndsOfBatchTasks)
{
    m_workers["worker"].usedByLongRunning = {};
    EXPECT_FALSE(findsAfter(900));
    EXPECT_TRUE(findsAfter(1'000));
}

TEST_F(UnplacedTaskSearchTest, findsNoTaskThatAWorkerHasRoomFor)
{
    m_workers["worker"].used = {};
    m_workers["worker"].usedByLongRunning = {};
    EXPECT_FALSE(findsAfter(5'000));
}

// The last owner left the task without a worker, and each new owner waited for the whole time again.
TEST_F(UnplacedTaskSearchTest, findsAnInheritedTaskAtOnceWhenTheWorkersAreKnown)
{
    m_job.fromEarlierTerm = true;
    EXPECT_TRUE(findsAfter(0));
    m_workers["worker"].hasAnswered = false;
    EXPECT_FALSE(findsAfter(1'400));
    EXPECT_TRUE(findsAfter(1'500));
    m_workers["worker"].consecutiveUnanswered = 1;
    EXPECT_TRUE(findsAfter(0));
}

TEST_F(UnplacedTaskSearchTest, findsNoTaskThatIsHeldBack)
{
    m_job.fromEarlierTerm = true;
    RecoveryHolds holds;
    holds.addForAll(RecoveryStage::Leases);
    const UnplacedTaskSearch search(m_workers, holds, m_start + Milliseconds(5'000));
    EXPECT_EQ(search.search(*m_step), std::nullopt);
}

// Another crash may be proven soon.
TEST_F(UnplacedTaskSearchTest, leavesTimeToProveACrash)
{
    m_step->tasks[0].crashes.addCrash(2, {"worker", CrashTiming::Prompt, 1});
    EXPECT_FALSE(findsAfter(1'400));
    EXPECT_TRUE(findsAfter(1'500));
}

// Its home partition would start the task without knowing of the lost run.
TEST_F(UnplacedTaskSearchTest, givesNoTaskBackWhileARunOfItIsLost)
{
    m_step->tasks[0].crashes.open(1, {"worker", "worker:1", 1, CrashTiming::Late});
    EXPECT_TRUE(findsAfter(300));
    m_job.ownedElsewhere = true;
    EXPECT_FALSE(findsAfter(5'000));
    m_step->tasks[0].crashes.close(1);
    EXPECT_TRUE(findsAfter(300));
}

}
