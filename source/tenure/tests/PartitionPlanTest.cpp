#include "tenure/PartitionPlan.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// With separate partitions, long-running tasks filled the workers of one region while those of another had headroom.
TEST(PartitionPlan, makesASmallFleetOnePartition)
{
    const PartitionPlan plan(
        std::map<std::string, std::string> {{"depot", "wheatbelt"}, {"office", "coastal"}, {"pumphouse", "wheatbelt"}});
    ASSERT_EQ(plan.partitions().size(), 1U);
    EXPECT_EQ(plan.partitionOf("office"), plan.partitionOf("depot"));
    EXPECT_EQ(plan.dataCentres(plan.partitions().front()).size(), 3U);
    EXPECT_EQ(plan.partitionOf("elsewhere"), "");
}

TEST(PartitionPlan, makesEachDataCentreOfALargeFleetAPartition)
{
    const PartitionPlan plan(std::map<std::string, std::string> {{"depot", "wheatbelt"}, {"siding", "wheatbelt"},
        {"pumphouse", "wheatbelt"}, {"office", "coastal"}, {"harbour", "coastal"}, {"reservoir", "coastal"}});
    EXPECT_EQ(plan.partitions().size(), 6U);
    EXPECT_EQ(plan.partitionOf("harbour"), "harbour");
}

}
