#include "scheduling/UnsettledStarts.h"
#include "scheduling/WorkerChoice.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

const Instant Start {Milliseconds(100'000)};
constexpr Milliseconds Second {1'000};

}

TEST(UnsettledStarts, areSettledByAnAnswerOfTheKnownIncarnation)
{
    UnsettledStarts starts;
    starts.sent();
    EXPECT_FALSE(starts.isEmpty());
    starts.answered(AnsweringIncarnation::Known, Start, Start + Second);
    EXPECT_TRUE(starts.isEmpty());
    EXPECT_EQ(starts.leaseExpiry(), std::nullopt);
}

// A report that was requested before the answer was missed may have been given before the restart.
TEST(UnsettledStarts, areSettledOnlyByAReportThatWasRequestedLater)
{
    for (const AnsweringIncarnation incarnation : {AnsweringIncarnation::Next, AnsweringIncarnation::Unclear}) {
        UnsettledStarts starts;
        starts.sent();
        starts.answered(incarnation, Start, Start + Second);
        EXPECT_EQ(starts.leaseExpiry(), Start + Second);
        starts.confirmIncarnation(Start - Milliseconds(1));
        EXPECT_TRUE(starts.isUnclear());
        starts.confirmIncarnation(Start);
        EXPECT_FALSE(starts.isUnclear());
        EXPECT_TRUE(starts.isEmpty());
    }
}

// The run may hold a longer lease there than the owner granted.
TEST(UnsettledStarts, countInTheLeasesOfTheirWorker)
{
    WorkerState worker;
    worker.clock.observe(5'000, Start, Start);
    worker.leaseGrantedUntil = 7'000;
    const std::optional<Instant> granted = worker.leaseExpiry();
    worker.unsettledStarts.sent();
    worker.unsettledStarts.answered(AnsweringIncarnation::Unclear, Start, Start + Second * 10);
    EXPECT_LT(granted, Start + Second * 3);
    EXPECT_EQ(worker.leaseExpiry(), Start + Second * 10);
    worker.unsettledStarts.confirmIncarnation(Start);
    EXPECT_EQ(worker.leaseExpiry(), granted);
}

TEST(WorkerChoice, startsNothingOnAWorkerWithManyEndsThatCannotBeAcknowledged)
{
    WorkerState worker;
    worker.listed = true;
    worker.hasAnswered = true;
    worker.recordedEnd = 300;
    EXPECT_TRUE(acceptsTasks(worker, Start));
    worker.unsettledStarts.sent();
    EXPECT_FALSE(acceptsTasks(worker, Start));
    worker.acknowledgedEnd = 200;
    EXPECT_TRUE(acceptsTasks(worker, Start));
}

}
