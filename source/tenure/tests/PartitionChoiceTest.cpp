#include "tenure/PartitionChoice.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

PoolHeadroom headroomWith(std::int64_t freeBesideLasting)
{
    return {10'000, freeBesideLasting, freeBesideLasting, 500, {4'000, 8'000, 0}, {4'000, 8'000, 0}, {"a", "rack-1"},
        {"rack-1"}};
}

JobRecord job(bool longRunning)
{
    JobRecord record;
    record.policy.pool = "pool";
    StepSpecification step;
    step.count = 2;
    step.demand = {1'000, 1'000, 0};
    step.estimate = Milliseconds(1'000);
    step.longRunning = longRunning;
    record.specification.steps = {step};
    return record;
}

constexpr auto Accept = PartitionChoice::Kind::Accept;

}

// All callers submit long-running jobs to the same partition.
TEST(PartitionChoice, sendsLongRunningJobsToTheLargestHeadroom)
{
    const PartitionHeadrooms headrooms {
        {"home", {{"pool", headroomWith(4'000)}}}, {"other", {{"pool", headroomWith(6'000)}}}};
    EXPECT_EQ(choosePartition(job(true), "home", headrooms), (PartitionChoice {Accept, "other"}));
    EXPECT_EQ(choosePartition(job(false), "home", headrooms), (PartitionChoice {Accept, "home"}));
}

TEST(PartitionChoice, staysAtHomeWhenOthersHaveLittleMoreHeadroom)
{
    const PartitionHeadrooms headrooms {
        {"home", {{"pool", headroomWith(4'000)}}}, {"other", {{"pool", headroomWith(4'100)}}}};
    EXPECT_EQ(choosePartition(job(true), "home", headrooms), (PartitionChoice {Accept, "home"}));
}

// Long-running tasks fill a partition, so that batch work would wait there for tens of seconds.
TEST(PartitionChoice, sendsBatchWorkAwayFromAFullPartition)
{
    const PartitionHeadrooms headrooms {
        {"home", {{"pool", headroomWith(100)}}}, {"other", {{"pool", headroomWith(3'000)}}}};
    EXPECT_EQ(choosePartition(job(false), "home", headrooms), (PartitionChoice {Accept, "other"}));
}

// There are so many long-running jobs that batch work would find no worker any more.
TEST(PartitionChoice, refusesLongRunningJobsThatLeaveTooLittleForBatchWork)
{
    const PartitionHeadrooms headrooms {{"home", {{"pool", headroomWith(2'500)}}}};
    EXPECT_EQ(choosePartition(job(true), "home", headrooms).kind, PartitionChoice::Kind::LeavesTooLittleForBatch);
    EXPECT_EQ(choosePartition(job(false), "home", headrooms).kind, Accept);
}

// Long-running tasks run on every worker. The total headroom is large, but no gap fits a typical batch task.
TEST(PartitionChoice, countsOnlyGapsThatBatchWorkCanUse)
{
    PoolHeadroom headroom = headroomWith(9'000);
    headroom.freeForBatch = 2'500;
    EXPECT_EQ(choosePartition(job(true), "home", {{"home", {{"pool", headroom}}}}).kind,
        PartitionChoice::Kind::LeavesTooLittleForBatch);
}

TEST(PartitionChoice, limitsTheHeadroomReservedForABacklogOfBatchWork)
{
    PoolHeadroom headroom = headroomWith(5'000);
    headroom.batchDemand = 1'000'000;
    EXPECT_EQ(choosePartition(job(true), "home", {{"home", {{"pool", headroom}}}}).kind, Accept);
}

TEST(PartitionChoice, choosesTheOnlyPartitionWithTheRequiredLabel)
{
    JobRecord labelled = job(false);
    labelled.specification.steps[0].requiredLabel = "b";
    PoolHeadroom other = headroomWith(1'000);
    other.labels = {"b"};
    const PartitionHeadrooms headrooms {{"home", {{"pool", headroomWith(9'000)}}}, {"other", {{"pool", other}}}};
    EXPECT_EQ(choosePartition(labelled, "home", headrooms), (PartitionChoice {Accept, "other"}));
    labelled.specification.steps[0].requiredLabel = "c";
    EXPECT_EQ(choosePartition(labelled, "home", headrooms).kind, PartitionChoice::Kind::NeverFits);
}

TEST(PartitionChoice, choosesThePartitionWithTheData)
{
    JobRecord near = job(false);
    near.specification.steps[0].dataRack = "rack-2";
    PoolHeadroom other = headroomWith(1'000);
    other.racks = {"rack-2"};
    const PartitionHeadrooms headrooms {{"home", {{"pool", headroomWith(9'000)}}}, {"other", {{"pool", other}}}};
    EXPECT_EQ(choosePartition(near, "home", headrooms), (PartitionChoice {Accept, "other"}));
}

// Half of a partition's workers are lost, and two other partitions have headroom for the tasks that ran on them.
TEST(PartitionChoice, delegatesLongRunningTasksToTheLargestHeadroom)
{
    const PartitionHeadrooms headrooms {{"home", {{"pool", headroomWith(9'000)}}},
        {"near", {{"pool", headroomWith(4'000)}}}, {"other", {{"pool", headroomWith(6'000)}}}};
    const StepSpecification step = job(true).specification.steps[0];
    int toOther = 0;
    constexpr int Owners = 100;
    for (std::uint64_t seed = 0; seed < Owners; ++seed) {
        DelegationQuery query {step, "pool", 1, "home", {}, seed};
        const std::vector<DelegationChoice> choices = chooseDelegates(query, headrooms);
        ASSERT_EQ(choices.size(), 1U);
        EXPECT_EQ(choices[0].count, 1);
        toOther += choices[0].partition == "other" ? 1 : 0;
    }
    // Most owners choose the larger room, but not all.
    EXPECT_GT(toOther, Owners / 2);
    EXPECT_LT(toOther, Owners);
    EXPECT_EQ(chooseDelegates({step, "elsewhere", 2, "home"}, headrooms), std::vector<DelegationChoice>());
}

// There are more tasks than one partition has room for.
TEST(PartitionChoice, spreadsLongRunningTasksOverThePartitionsWithRoom)
{
    const PartitionHeadrooms headrooms {{"home", {{"pool", headroomWith(9'000)}}},
        {"full", {{"pool", headroomWith(0)}}}, {"near", {{"pool", headroomWith(4'000)}}},
        {"other", {{"pool", headroomWith(6'000)}}}};
    const StepSpecification step = job(true).specification.steps[0];
    const std::vector<DelegationChoice> all {{"near", 2}, {"other", 3}};
    EXPECT_EQ(chooseDelegates({step, "pool", 9, "home"}, headrooms), all);
    const std::vector<DelegationChoice> accepting {{"near", 2}};
    EXPECT_EQ(chooseDelegates({step, "pool", 9, "home", {"other"}}, headrooms), accepting);
}

TEST(PartitionChoice, delegatesNothingWithoutAGapThatFitsATask)
{
    PoolHeadroom headroom = headroomWith(6'000);
    headroom.largestGap = {900, 8'000, 0};
    const StepSpecification step = job(true).specification.steps[0];
    EXPECT_TRUE(chooseDelegates({step, "pool", 2, "home"}, {{"other", {{"pool", headroom}}}}).empty());
}

TEST(PoolHeadrooms, areUnchangedAfterTransferToAnotherOwner)
{
    const PoolHeadrooms headrooms {{"pool", headroomWith(4'000)}};
    EXPECT_EQ(parsePoolHeadrooms(describe(headrooms)), headrooms);
    EXPECT_TRUE(parsePoolHeadrooms(Json("none")).empty());
}

// A gang was accepted by a partition with fewer workers than members, and waited there for good.
TEST(PartitionChoice, findsThePartitionWhereAWholeGangFits)
{
    JobRecord record = job(false);
    record.specification.steps[0].gang = true;
    record.specification.steps[0].demand.milliCores = 3'000;
    PartitionHeadrooms headrooms {
        {"home", {{"pool", headroomWith(4'000)}}}, {"other", {{"pool", headroomWith(4'000)}}}};
    headrooms["home"]["pool"].addWorker({4'000, 8'000, 0});
    headrooms["other"]["pool"].addWorker({4'000, 8'000, 0});
    headrooms["other"]["pool"].addWorker({4'000, 8'000, 0});
    EXPECT_EQ(choosePartition(record, "home", headrooms), (PartitionChoice {Accept, "other"}));
    record.specification.steps[0].count = 3;
    EXPECT_EQ(choosePartition(record, "home", headrooms).kind, PartitionChoice::Kind::NeverFits);
}

// Workers of very many sizes are counted in a few classes, none of them as smaller than it is.
TEST(PoolHeadroom, neverCountsTooFewPlaces)
{
    PoolHeadroom headroom;
    constexpr int Workers = 200;
    for (int i = 0; i < Workers; ++i) {
        headroom.addWorker({60'000 + i * 37, 250'000, i % 2});
    }
    EXPECT_LE(headroom.capacities.size(), PoolHeadroom::MostCapacities);
    EXPECT_GE(headroom.placesFor({60'000, 1'000, 0}, 0), Workers);
    EXPECT_GE(headroom.placesFor({1'000, 1'000, 0}, 3), Workers * 3);
    const PoolHeadrooms read = parsePoolHeadrooms(describe(PoolHeadrooms {{"pool", headroom}}));
    EXPECT_EQ(read.at("pool").capacities, headroom.capacities);
}

}
