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
    for (const CrashTiming timing : {CrashTiming::Late, CrashTiming::Unknown, CrashTiming::Unconfirmed}) {
        EXPECT_EQ(verdictOn({CrashTiming::Prompt, timing}), CrashVerdict::Retry);
        EXPECT_EQ(verdictOn({timing, timing}), CrashVerdict::Retry);
        EXPECT_EQ(verdictOn({timing, CrashTiming::Prompt, timing}), CrashVerdict::GiveUp);
    }
}

// Another task may have crashed the worker before the start order arrived.
TEST(CrashVerdict, doesNotCountUnconfirmedStartsBesideOtherTasks)
{
    const std::vector<CrashTiming> crashes(10, CrashTiming::Ambiguous);
    EXPECT_EQ(verdictOn(crashes), CrashVerdict::Retry);
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

}
