#include "tenure/PartitionChoice.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

PoolHeadroom roomWith(std::int64_t freeBesideLasting)
{
    return {10'000, freeBesideLasting, freeBesideLasting, 500, {4'000, 8'000, 0}, {4'000, 8'000, 0}, {"a", "rack-1"},
        {"rack-1"}};
}

JobRecord job(bool lasting)
{
    JobRecord record;
    record.policy.pool = "pool";
    StepSpecification step;
    step.count = 2;
    step.demand = {1'000, 1'000, 0};
    step.estimate = Milliseconds(1'000);
    step.longRunning = lasting;
    record.specification.steps = {step};
    return record;
}

constexpr auto Take = PartitionChoice::Kind::Take;

}

// Load: lasting jobs whose callers all come in at one partition.
TEST(PartitionChoice, sendsLastingJobsWhereMostIsFree)
{
    const PartitionRooms rooms {{"home", {{"pool", roomWith(4'000)}}}, {"other", {{"pool", roomWith(6'000)}}}};
    EXPECT_EQ(choosePartition(job(true), "home", rooms), (PartitionChoice {Take, "other"}));
    EXPECT_EQ(choosePartition(job(false), "home", rooms), (PartitionChoice {Take, "home"}));
}

TEST(PartitionChoice, staysAtHomeWhenOthersHaveLittleMore)
{
    const PartitionRooms rooms {{"home", {{"pool", roomWith(4'000)}}}, {"other", {{"pool", roomWith(4'100)}}}};
    EXPECT_EQ(choosePartition(job(true), "home", rooms), (PartitionChoice {Take, "home"}));
}

// Load: a partition that lasting tasks fill, so that passing work would wait for tens of seconds.
TEST(PartitionChoice, sendsPassingWorkAwayFromAFullPartition)
{
    const PartitionRooms rooms {{"home", {{"pool", roomWith(100)}}}, {"other", {{"pool", roomWith(3'000)}}}};
    EXPECT_EQ(choosePartition(job(false), "home", rooms), (PartitionChoice {Take, "other"}));
}

// Load: so many lasting jobs that passing work finds no worker any more.
TEST(PartitionChoice, refusesLastingJobsThatCrowdPassingWorkOut)
{
    const PartitionRooms rooms {{"home", {{"pool", roomWith(2'500)}}}};
    EXPECT_EQ(choosePartition(job(true), "home", rooms).kind, PartitionChoice::Kind::Crowded);
    EXPECT_EQ(choosePartition(job(false), "home", rooms).kind, Take);
}

// Load: lasting tasks on every worker. What they leave is much in sum, but no gap holds a typical passing task.
TEST(PartitionChoice, countsOnlyGapsThatPassingWorkCanUse)
{
    PoolHeadroom room = roomWith(9'000);
    room.freeForBatch = 2'500;
    EXPECT_EQ(choosePartition(job(true), "home", {{"home", {{"pool", room}}}}).kind, PartitionChoice::Kind::Crowded);
}

TEST(PartitionChoice, limitsWhatABacklogOfPassingWorkKeepsFree)
{
    PoolHeadroom room = roomWith(5'000);
    room.batchDemand = 1'000'000;
    EXPECT_EQ(choosePartition(job(true), "home", {{"home", {{"pool", room}}}}).kind, Take);
}

TEST(PartitionChoice, goesToTheOnlyPartitionWithTheLabel)
{
    JobRecord labelled = job(false);
    labelled.specification.steps[0].requiredLabel = "b";
    PoolHeadroom other = roomWith(1'000);
    other.labels = {"b"};
    const PartitionRooms rooms {{"home", {{"pool", roomWith(9'000)}}}, {"other", {{"pool", other}}}};
    EXPECT_EQ(choosePartition(labelled, "home", rooms), (PartitionChoice {Take, "other"}));
    labelled.specification.steps[0].requiredLabel = "c";
    EXPECT_EQ(choosePartition(labelled, "home", rooms).kind, PartitionChoice::Kind::NeverFits);
}

TEST(PartitionChoice, goesToTheData)
{
    JobRecord near = job(false);
    near.specification.steps[0].dataRack = "rack-2";
    PoolHeadroom other = roomWith(1'000);
    other.racks = {"rack-2"};
    const PartitionRooms rooms {{"home", {{"pool", roomWith(9'000)}}}, {"other", {{"pool", other}}}};
    EXPECT_EQ(choosePartition(near, "home", rooms), (PartitionChoice {Take, "other"}));
}

// Load: half of a partition's workers are lost, and two other partitions have room for what ran there.
TEST(PartitionChoice, delegatesLastingTasksWhereMostIsFree)
{
    const PartitionRooms rooms {{"home", {{"pool", roomWith(9'000)}}}, {"near", {{"pool", roomWith(4'000)}}},
        {"other", {{"pool", roomWith(6'000)}}}};
    const StepSpecification step = job(true).specification.steps[0];
    EXPECT_EQ(chooseDelegate(step, "pool", 2, "home", rooms), (DelegationChoice {"other", 2}));
    EXPECT_EQ(chooseDelegate(step, "pool", 9, "home", rooms), (DelegationChoice {"other", 3}));
    EXPECT_EQ(chooseDelegate(step, "elsewhere", 2, "home", rooms), std::nullopt);
}

TEST(PartitionChoice, delegatesNothingWhereNoGapHoldsATask)
{
    PoolHeadroom room = roomWith(6'000);
    room.largestGap = {900, 8'000, 0};
    const StepSpecification step = job(true).specification.steps[0];
    EXPECT_EQ(chooseDelegate(step, "pool", 2, "home", {{"other", {{"pool", room}}}}), std::nullopt);
}

TEST(PoolHeadrooms, surviveTheWayToAnotherOwner)
{
    const PoolHeadrooms rooms {{"pool", roomWith(4'000)}};
    EXPECT_EQ(parsePoolHeadrooms(describe(rooms)), rooms);
    EXPECT_TRUE(parsePoolHeadrooms(Json("none")).empty());
}

}
