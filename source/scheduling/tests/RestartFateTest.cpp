#include "scheduling/RestartFate.h"
#include "scheduling/WorkerClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// A running task of a job with one step, and the report of its worker's next incarnation.
class RestartFateTest : public testing::Test
{
protected:
    RestartFateTest()
    {
        m_job.specification.id = "job";
        m_job.specification.steps.resize(1);
        m_job.specification.steps[0].count = 1;
        m_task = &createOccurrence(m_job, 0).steps[0].tasks[0];
        m_task->run = 3;
        m_task->phase = RunPhase::Running;
        m_task->runStartedAt = m_sentAt - Second * 5;
        m_task->lastOrderAnswered = *m_task->runStartedAt;
        m_task->runConfirmed = true;
        m_report.workerClock = Second.count();
    }

    [[nodiscard]] RestartFate fate() const
    {
        return fateAfterRestart(*m_task, NextIncarnation::of(m_report, m_sentAt, m_sentAt + Milliseconds(4)));
    }

    JobState m_job;
    TaskState *m_task = nullptr;
    Instant m_sentAt {Second * 100};
    RunReport m_report;
};

}

TEST_F(RestartFateTest, losesARunOfTheFormerIncarnation)
{
    EXPECT_EQ(fate(), RestartFate::Lost);
}

TEST_F(RestartFateTest, keepsAListedRun)
{
    m_report.running.push_back({{nameOf(*m_task), 3}, {}, 10, 0});
    EXPECT_EQ(fate(), RestartFate::Kept);
    m_report.running.clear();
    m_report.ended.push_back({1, {nameOf(*m_task), 3}, RunEnd::Done, {}});
    EXPECT_EQ(fate(), RestartFate::Kept);
    m_report.ended[0].run.run = 2;
    EXPECT_EQ(fate(), RestartFate::Lost);
}

TEST_F(RestartFateTest, keepsARunSentAfterTheIncarnationHadStarted)
{
    m_task->phase = RunPhase::Starting;
    m_task->runConfirmed = false;
    m_task->orderPending = true;
    m_task->runStartedAt = m_sentAt - Second / 2;
    EXPECT_EQ(fate(), RestartFate::Kept);
    m_task->runStartedAt = m_sentAt - Second * 2;
    EXPECT_EQ(fate(), RestartFate::Uncertain);
}

TEST_F(RestartFateTest, isUncertainOfARunThatTheReportMayBeTooOldToList)
{
    m_task->lastOrderAnswered = m_sentAt;
    EXPECT_EQ(fate(), RestartFate::Uncertain);
    m_task->isWithNextIncarnation = true;
    EXPECT_EQ(fate(), RestartFate::Kept);
}

TEST_F(RestartFateTest, isUncertainOfAnUnansweredStart)
{
    m_task->phase = RunPhase::Starting;
    m_task->runConfirmed = false;
    m_task->deliveryUncertain = true;
    EXPECT_EQ(fate(), RestartFate::Uncertain);
    m_task->awaitsRecording = true;
    EXPECT_EQ(fate(), RestartFate::Lost);
}

// The clock may be 2 % slow, and answers may overtake each other.
TEST(WorkerClock, recognizesTheClockOfANextIncarnation)
{
    const Instant start {Second * 100};
    WorkerClock clock;
    EXPECT_EQ(clock.incarnationOf(0, start), AnsweringIncarnation::Unclear);
    clock.observe(5'000, start, start + Milliseconds(4));
    EXPECT_EQ(clock.incarnationOf(5'990, start + Second), AnsweringIncarnation::Known);
    EXPECT_EQ(clock.incarnationOf(4'950, start - Milliseconds(50)), AnsweringIncarnation::Known);
    EXPECT_EQ(clock.incarnationOf(900, start + Second), AnsweringIncarnation::Next);
    clock.reset(start + Second);
    EXPECT_EQ(clock.incarnationOf(900, start), AnsweringIncarnation::Unclear);
}

}
