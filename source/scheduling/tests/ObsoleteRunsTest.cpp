#include "scheduling/ObsoleteRuns.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

const Instant Start {Milliseconds(100'000)};
constexpr Milliseconds Second {1'000};
const RunName FirstRun {{"job", 0, 0, 0}, 1};

}

// A report that does not list a run was taken for its end, though its start was still on its way.
TEST(ObsoleteRuns, stayWhileTheirStartMayBeCarriedOut)
{
    ObsoleteRuns runs;
    runs.add(FirstRun, Start + Second * 2);
    runs.stopSent(FirstRun, Start);
    runs.stopAnswered(FirstRun, OrderOutcome::Unknown, Start, Start + Second);
    runs.applyReport({}, Start + Second * 2);
    EXPECT_FALSE(runs.isEmpty());
    runs.applyReport({}, Start + Second * 2 + Milliseconds(1));
    EXPECT_TRUE(runs.isEmpty());
}

TEST(ObsoleteRuns, areOverOnceALaterReportThanTheirStopDoesNotListThem)
{
    ObsoleteRuns runs;
    runs.add(FirstRun, Start + Second * 9);
    runs.stopSent(FirstRun, Start);
    runs.stopAnswered(FirstRun, OrderOutcome::Accepted, Start, Start + Second);
    runs.applyReport({}, Start);
    EXPECT_FALSE(runs.isEmpty());
    runs.applyReport({FirstRun}, Start + Second);
    EXPECT_FALSE(runs.isEmpty());
    runs.applyReport({}, Start + Second);
    EXPECT_TRUE(runs.isEmpty());
}

TEST(ObsoleteRuns, areOverOnceTheyAreNoLongerListed)
{
    ObsoleteRuns runs;
    EXPECT_TRUE(runs.addListed(FirstRun));
    EXPECT_FALSE(runs.addListed(FirstRun));
    runs.applyReport({}, Start);
    EXPECT_TRUE(runs.isEmpty());
    runs.addListed(FirstRun);
    runs.ended(FirstRun);
    EXPECT_TRUE(runs.isEmpty());
}

TEST(ObsoleteRuns, repeatStopsUntilOneIsAccepted)
{
    ObsoleteRuns runs;
    runs.add(FirstRun, Start + Second * 9);
    EXPECT_EQ(runs.dueStops(Start), std::vector<RunName> {FirstRun});
    runs.stopSent(FirstRun, Start);
    EXPECT_EQ(runs.dueStops(Start + Second), std::vector<RunName>());
    runs.stopAnswered(FirstRun, OrderOutcome::Unknown, Start, Start + Second);
    EXPECT_EQ(runs.dueStops(Start + Second), std::vector<RunName> {FirstRun});
    runs.stopSent(FirstRun, Start + Second);
    runs.stopAnswered(FirstRun, OrderOutcome::Accepted, Start + Second, Start + Second * 2);
    EXPECT_EQ(runs.dueStops(Start + Second * 2), std::vector<RunName>());
}

// The answer of a former incarnation must not count for the next one, which the start may still reach.
TEST(ObsoleteRuns, areStoppedOnTheNextIncarnationAsWell)
{
    ObsoleteRuns runs;
    runs.add(FirstRun, Start + Second);
    runs.stopSent(FirstRun, Start);
    runs.restart(Start + Second * 5);
    runs.stopAnswered(FirstRun, OrderOutcome::Accepted, Start, Start + Second);
    runs.applyReport({}, Start + Second * 3);
    EXPECT_EQ(runs.dueStops(Start + Second * 3), std::vector<RunName> {FirstRun});
    runs.restart({});
    EXPECT_TRUE(runs.isEmpty());
}

}
