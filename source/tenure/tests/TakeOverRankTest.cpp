#include "tenure/TakeOverRank.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// Without this rule one instance took over all six partitions of a large fleet and ran out of processor time.
TEST(TakeOverRank, spreadsPartitionsOverInstances)
{
    const std::vector<OwnerCandidate> candidates {{"busy", 1, true, 500, 2}, {"free", 1, false, 500, 0}};
    EXPECT_EQ(takeOverRank("free", "depot", candidates), 0);
    EXPECT_EQ(takeOverRank("busy", "depot", candidates), 1);
}

TEST(TakeOverRank, prefersProcessorTimeToTheDataCentreWithinTheRegion)
{
    const std::vector<OwnerCandidate> candidates {{"weak", 1, true, 120, 0}, {"strong", 1, false, 500, 0},
        {"inside", 1, true, 500, 0}, {"far", 0, false, 500, 0}};
    EXPECT_EQ(takeOverRank("inside", "depot", candidates), 0);
    EXPECT_EQ(takeOverRank("strong", "depot", candidates), 1);
    EXPECT_EQ(takeOverRank("weak", "depot", candidates), 2);
    EXPECT_EQ(takeOverRank("far", "depot", candidates), 3);
}

// An instance that is not listed yet ranks last.
// The one fast instance of a fleet must not take over each partition that becomes vacant.
TEST(TakeOverRank, prefersFastInstancesOnlyWhileTheyHaveProcessorTime)
{
    const std::vector<OwnerCandidate> idle {{"slow", 2, true, 50, 0, true}, {"fast", 1, false, 250, 0, false}};
    EXPECT_EQ(takeOverRank("fast", "depot", idle), 0);
    const std::vector<OwnerCandidate> busy {{"slow", 2, true, 50, 0, true}, {"fast", 1, false, 250, 3, false}};
    EXPECT_EQ(takeOverRank("slow", "depot", busy), 0);
}

TEST(TakeOverRank, ranksListedInstancesFirst)
{
    EXPECT_EQ(takeOverRank("new", "depot", {{"other", 0, false, 100, 0}}), 1);
}

// A fast instance with many partitions must not take the next one as well while a slow one that is idle could give it
// more processor time.
TEST(TakeOverRank, prefersAnIdleSlowInstanceToAFastOneWithManyPartitions)
{
    const std::vector<OwnerCandidate> candidates {{"busy", 1, true, 500, 9, false}, {"slow", 1, true, 250, 0, true}};
    EXPECT_EQ(takeOverRank("slow", "depot", candidates), 0);
}

}
