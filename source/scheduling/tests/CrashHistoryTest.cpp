#include "scheduling/JobState.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

CrashHistory sampleHistory()
{
    CrashHistory history;
    history.addCrash(3, {"worker-1", CrashTiming::Prompt});
    history.addCrash(9, {"worker-2", CrashTiming::Late, 5});
    history.open(12, {"worker-3", "worker-3:1", 77, {}});
    return history;
}

void prepare(JobState &job)
{
    job.specification.id = "job";
    StepSpecification step;
    step.count = 2;
    job.specification.steps = {step};
}

}

TEST(CrashHistory, isUnchangedByStoring)
{
    Json entry = Json::object();
    sampleHistory().describe(entry);
    EXPECT_EQ(CrashHistory::parse(entry), sampleHistory());
}

// After a take-over the same crash is found out a second time.
TEST(CrashHistory, countsACrashOnce)
{
    CrashHistory history;
    EXPECT_TRUE(history.addCrash(3, {"worker-1", CrashTiming::Prompt}));
    EXPECT_FALSE(history.addCrash(3, {"worker-1", CrashTiming::Unknown}));
    history.open(3, {"worker-1", "worker-1:1", 1, {}});
    EXPECT_TRUE(history.openRuns().empty());
    EXPECT_EQ(history.crashes().at(3).timing, CrashTiming::Prompt);
}

// The conviction of one task clears those that ran beside it, but not of crashes elsewhere.
TEST(CrashHistory, clearsTasksOfCrashesThatAnotherOneCaused)
{
    CrashHistory history;
    history.addCrash(1, {"worker-1", CrashTiming::Prompt, 7});
    history.addCrash(2, {"worker-1", CrashTiming::Prompt, 8});
    EXPECT_TRUE(history.explain({"worker-1", CrashTiming::Late, 7}));
    EXPECT_FALSE(history.explain({"worker-1", CrashTiming::Late, 7}));
    EXPECT_FALSE(history.explain({"worker-2", CrashTiming::Late, 8}));
    EXPECT_FALSE(history.explain({"worker-1", CrashTiming::Late, 0}));
    EXPECT_EQ(history.crashes().at(1).timing, CrashTiming::LateShared);
    EXPECT_EQ(history.crashes().at(2).timing, CrashTiming::Prompt);
}

TEST(CrashHistory, readsRecordsOfEarlierVersionsAndMalformedOnes)
{
    EXPECT_TRUE(CrashHistory::parse(Json::object()).isEmpty());
    EXPECT_TRUE(CrashHistory::parse({{"crashed_runs", 7}, {"open_runs", "none"}}).isEmpty());
    const CrashHistory history = CrashHistory::parse(
        {{"crashed_runs", {{{"run", 4}, {"timing", 5}}, "text", {{"run", -1}}}}, {"open_runs", {{{"run", 6}}}}});
    EXPECT_EQ(history.crashes().size(), 1U);
    EXPECT_EQ(history.crashes().at(4).timing, CrashTiming::Unknown);
    EXPECT_TRUE(history.openRuns().empty());
}

TEST(CrashHistory, readsABoundedNumberOfEntries)
{
    Json crashes = Json::array();
    for (int run = 1; run <= 10'000; ++run) {
        crashes.push_back({{"run", run}, {"worker", "worker"}, {"timing", "late"}});
    }
    EXPECT_LE(CrashHistory::parse({{"crashed_runs", crashes}}).crashes().size(), 64U);
}

TEST(JobState, keepsCrashHistoriesOverATakeOver)
{
    JobState job;
    prepare(job);
    createOccurrence(job, 0).steps[0].tasks[1].crashes = sampleHistory();
    job.nextOccurrence = 1;
    JobState restored;
    prepare(restored);
    restoreProgress(restored, describeProgress(job));
    EXPECT_EQ(restored.find({"job", 0, 0, 1})->crashes, sampleHistory());
    EXPECT_TRUE(restored.find({"job", 0, 0, 0})->crashes.isEmpty());
    JobState delegated;
    prepare(delegated);
    createOccurrence(delegated, 0);
    restoreDelegatedProgress(delegated, describeProgress(job));
    EXPECT_EQ(delegated.find({"job", 0, 0, 1})->crashes, sampleHistory());
}

}
