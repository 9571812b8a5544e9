#include "tenure/OwnerTurn.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// One instance once owned all six partitions of a large fleet and ran out of processor time.
TEST(OwnerTurn, spreadsPartitionsOverInstances)
{
    const std::vector<OwnerCandidate> candidates {{"busy", 1, true, 500, 2}, {"free", 1, false, 500, 0}};
    EXPECT_EQ(turnOf("free", "depot", candidates), 0);
    EXPECT_EQ(turnOf("busy", "depot", candidates), 1);
}

TEST(OwnerTurn, prefersProcessorTimeToNearnessWithinTheRegion)
{
    const std::vector<OwnerCandidate> candidates {{"weak", 1, true, 120, 0}, {"strong", 1, false, 500, 0},
        {"inside", 1, true, 500, 0}, {"far", 0, false, 500, 0}};
    EXPECT_EQ(turnOf("inside", "depot", candidates), 0);
    EXPECT_EQ(turnOf("strong", "depot", candidates), 1);
    EXPECT_EQ(turnOf("weak", "depot", candidates), 2);
    EXPECT_EQ(turnOf("far", "depot", candidates), 3);
}

// An instance that is not listed yet comes last.
TEST(OwnerTurn, letsListedInstancesGoFirst)
{
    EXPECT_EQ(turnOf("new", "depot", {{"other", 0, false, 100, 0}}), 1);
}

}
