#include "routing/ForwardingTime.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Now {Milliseconds(10'000)};

}

TEST(ForwardingTime, aCallersOwnDaemonMayWaitUntilTheDeadline)
{
    EXPECT_EQ(waitLimit(0, Now, Now + Milliseconds(4'000)), Now + Milliseconds(4'000));
}

// Such a request once waited its whole time at a daemon that had handed its workers over, and ended as unknown.
TEST(ForwardingTime, aForwardedRequestGoesBackWhileThereIsTimeToLookElsewhere)
{
    EXPECT_LE(waitLimit(2, Now, Now + Milliseconds(4'000)), Now + Milliseconds(1'000));
    EXPECT_EQ(waitLimit(2, Now, Now + Milliseconds(100)), Now + Milliseconds(100));
}

TEST(ForwardingTime, leavesTimeForTheAnswerToTravelBack)
{
    EXPECT_LT(timeForPeer(Milliseconds(4'000), Distance::SameRegion), Milliseconds(4'000));
    EXPECT_LE(timeForPeer(Milliseconds(4'000), Distance::OtherRegion), Milliseconds(4'000 - 30));
    EXPECT_GT(timeForPeer(Milliseconds(4), Distance::OtherRegion), Milliseconds(0));
}

}
