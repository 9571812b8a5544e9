#include "scheduling/CrashVerdict.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

CrashVerdict verdictOn(const std::vector<CrashTiming> &timings)
{
    CrashHistory history;
    std::uint64_t run = 0;
    for (const CrashTiming timing : timings) {
        history.addCrash(++run, {"worker", timing});
    }
    return judge(history);
}

}

TEST(CrashVerdict, givesUpAfterTwoPromptCrashes)
{
    EXPECT_EQ(verdictOn({CrashTiming::Prompt}), CrashVerdict::Retry);
    EXPECT_EQ(verdictOn({CrashTiming::Prompt, CrashTiming::Prompt}), CrashVerdict::GiveUp);
}

// A task that has run for a while before its worker crashes is probably not the cause.
TEST(CrashVerdict, needsThreeCrashesIfOneWasNotPrompt)
{
    for (const CrashTiming timing :
        {CrashTiming::Late, CrashTiming::Unknown, CrashTiming::Unconfirmed, CrashTiming::PromptUnread}) {
        EXPECT_EQ(verdictOn({CrashTiming::Prompt, timing}), CrashVerdict::Retry);
        EXPECT_EQ(verdictOn({timing, timing}), CrashVerdict::Retry);
        EXPECT_EQ(verdictOn({timing, CrashTiming::Prompt, timing}), CrashVerdict::GiveUp);
    }
}

// Another task may have crashed the worker before the start order arrived, but the starts must not go on forever.
TEST(CrashVerdict, givesUpAfterFourCrashesThatOtherTasksMayHaveCaused)
{
    std::vector<CrashTiming> crashes(3, CrashTiming::Ambiguous);
    EXPECT_EQ(verdictOn(crashes), CrashVerdict::Retry);
    crashes.push_back(CrashTiming::Ambiguous);
    EXPECT_EQ(verdictOn(crashes), CrashVerdict::GiveUp);
}

// Seen on a bench: two prompt crashes did not decide because of an unconfirmed start, and another worker crashed.
TEST(CrashVerdict, ignoresOtherCrashesBesidePromptOnes)
{
    EXPECT_EQ(verdictOn({CrashTiming::Ambiguous, CrashTiming::Prompt}), CrashVerdict::Retry);
    EXPECT_EQ(verdictOn({CrashTiming::Prompt, CrashTiming::Ambiguous, CrashTiming::Prompt}), CrashVerdict::GiveUp);
    EXPECT_EQ(verdictOn({CrashTiming::LateShared, CrashTiming::Prompt, CrashTiming::Prompt}), CrashVerdict::GiveUp);
}

// Seen on a bench: long-running tasks beside many culprits were given up after three crashes.
TEST(CrashVerdict, doesNotGiveUpAfterThreeCrashesBesideTasksThatWereStartedLately)
{
    const CrashTiming late = CrashTiming::LateShared;
    EXPECT_EQ(verdictOn({late, late, late}), CrashVerdict::Retry);
    EXPECT_EQ(verdictOn({late, late, CrashTiming::Prompt}), CrashVerdict::Retry);
}

// Two tasks that are started together twice share both crashes, and the run of one may have ended before.
TEST(CrashVerdict, needsACrashWithoutAnotherCauseToGiveUpAfterTwo)
{
    const CrashTiming shared = CrashTiming::PromptShared;
    EXPECT_EQ(verdictOn({shared, shared}), CrashVerdict::Retry);
    EXPECT_EQ(verdictOn({shared, CrashTiming::Prompt}), CrashVerdict::GiveUp);
    EXPECT_EQ(verdictOn({CrashTiming::Unknown, CrashTiming::LateShared, shared}), CrashVerdict::Retry);
    EXPECT_EQ(verdictOn({shared, shared, CrashTiming::LateShared, shared}), CrashVerdict::GiveUp);
}

// The proof of a crash may arrive later than the expiry of the worker's leases.
TEST(CrashVerdict, waitsForTheProofThatDecides)
{
    CrashHistory history;
    history.addCrash(1, {"worker", CrashTiming::Prompt});
    history.open(2, {"worker", "worker:1", 1, {}});
    EXPECT_EQ(judge(history), CrashVerdict::Retry);
    history.markLost(2, CrashTiming::Late);
    EXPECT_EQ(judge(history), CrashVerdict::Retry);
    history.markLost(2, CrashTiming::Prompt);
    EXPECT_EQ(judge(history), CrashVerdict::Wait);
    history.close(2);
    EXPECT_EQ(judge(history), CrashVerdict::Retry);
}

TEST(CrashVerdict, tellsWhenLostRunsAndTheNextCrashMayDecideTogether)
{
    CrashHistory history;
    history.open(1, {"worker-1", "worker-1:1", 7, CrashTiming::Ambiguous});
    history.addCrash(2, {"worker-2", CrashTiming::Ambiguous});
    EXPECT_FALSE(isNearlyProven(history));
    EXPECT_FALSE(mayLostRunsDecide(history));
    history.addCrash(3, {"worker-3", CrashTiming::Ambiguous});
    EXPECT_EQ(judge(history), CrashVerdict::Retry);
    EXPECT_TRUE(mayLostRunsDecide(history));
    history.close(1);
    EXPECT_FALSE(mayLostRunsDecide(history));
    history.addCrash(4, {"worker-4", CrashTiming::Ambiguous});
    EXPECT_TRUE(isNearlyProven(history));
    EXPECT_FALSE(mayLostRunsDecide(history));
    EXPECT_FALSE(isNearlyProven({}));
}

}
