#include "scheduling/CrashEvidence.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// A worker with two tasks, whose last contact was a minute after the clock's beginning.
class CrashEvidenceTest : public testing::Test
{
protected:
    CrashEvidenceTest()
    {
        m_job.specification.steps = {StepSpecification(), StepSpecification()};
        m_job.specification.steps[0].count = 2;
        m_job.specification.steps[0].estimate = Estimate;
        OccurrenceState &occurrence = createOccurrence(m_job, 0);
        m_task = &occurrence.steps[0].tasks[0];
        m_other = &occurrence.steps[0].tasks[1];
        m_worker.lastContact = Instant() + Milliseconds(60'000);
        m_worker.tasks = {m_task, m_other};
    }

    // Lets a task have been started so long before the last contact, which is negative if it was started later.
    void start(TaskState &task, int milliseconds, bool confirmed) const
    {
        task.runStartedAt = m_worker.lastContact - Milliseconds(milliseconds);
        task.runConfirmed = confirmed;
    }

    static constexpr Milliseconds Estimate {10'000};

    JobState m_job;
    TaskState *m_task = nullptr;
    TaskState *m_other = nullptr;
    WorkerState m_worker;
};

}

// Seen on a bench: six starts, each of which crashed a worker full of long-running tasks before the answer.
TEST_F(CrashEvidenceTest, countsAnUnconfirmedStartBesideTasksThatHaveRunForLong)
{
    start(*m_task, -10, false);
    start(*m_other, 20'000, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::Unconfirmed);
    start(*m_other, 1'000, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::Ambiguous);
    start(*m_other, 20'000, false);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::Ambiguous);
}

TEST_F(CrashEvidenceTest, tellsCrashesWithAnotherPossibleCauseApart)
{
    start(*m_task, 200, true);
    start(*m_other, 1'000, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::Prompt);
    start(*m_other, 100, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::PromptShared);
    start(*m_task, 10'000, true);
    start(*m_other, 4'000, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::LateShared);
    start(*m_other, 6'000, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, m_worker.lastContact), CrashTiming::Late);
}

// Two runs that were done, and whose workers restarted before the ends were read, were taken for crashes of their task.
TEST_F(CrashEvidenceTest, tellsCrashesApartBeforeWhichTheRunMayHaveBeenCompleted)
{
    start(*m_task, 100, true);
    start(*m_other, 20'000, true);
    const Instant startedAt = *m_task->runStartedAt;
    EXPECT_EQ(crashTiming(*m_task, m_worker, startedAt + Estimate / 4), CrashTiming::Prompt);
    EXPECT_EQ(crashTiming(*m_task, m_worker, startedAt + Estimate), CrashTiming::PromptUnread);
    m_task->percent = 1;
    m_task->progressRequestedAt = startedAt + Milliseconds(80);
    EXPECT_EQ(crashTiming(*m_task, m_worker, startedAt + Estimate / 4), CrashTiming::Prompt);
    start(*m_other, 0, true);
    EXPECT_EQ(crashTiming(*m_task, m_worker, startedAt + Estimate), CrashTiming::Ambiguous);
    m_job.specification.steps[0].longRunning = true;
    EXPECT_EQ(crashTiming(*m_task, m_worker, startedAt + Estimate), CrashTiming::PromptShared);
}

// A start that waits for its record has not been sent.
TEST_F(CrashEvidenceTest, doesNotCountStartsThatWereNotSent)
{
    start(*m_task, -10, false);
    m_other->awaitsRecording = true;
    m_worker.incarnation = 3;
    EXPECT_EQ(crashEvidence(m_worker, m_worker.lastContact),
        (std::vector<CrashEvidence> {{{nameOf(*m_task), m_task->run}, 3, CrashTiming::Unconfirmed}}));
    m_worker.listing.draining = true;
    EXPECT_TRUE(crashEvidence(m_worker, m_worker.lastContact).empty());
}

}
