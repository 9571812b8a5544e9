#include "routing/ForwardingTime.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Now {Milliseconds(10'000)};

}

TEST(ForwardingTime, requestFromCallerMayWaitUntilItsDeadline)
{
    EXPECT_EQ(queueDeadline(0, Now, Now + Milliseconds(4'000)), Now + Milliseconds(4'000));
}

// Guards against a forwarded request that waits until its deadline at an instance that has already handed its workers
// over, and whose outcome is then unknown.
TEST(ForwardingTime, forwardedRequestReturnsInTimeToTryAnotherInstance)
{
    EXPECT_LE(queueDeadline(2, Now, Now + Milliseconds(4'000)), Now + Milliseconds(1'000));
    EXPECT_EQ(queueDeadline(2, Now, Now + Milliseconds(100)), Now + Milliseconds(100));
}

TEST(ForwardingTime, peerTimeBudgetLeavesTimeForTheReply)
{
    EXPECT_LT(peerTimeBudget(Milliseconds(4'000), Distance::SameRegion), Milliseconds(4'000));
    EXPECT_LE(peerTimeBudget(Milliseconds(4'000), Distance::OtherRegion), Milliseconds(4'000 - 30));
    EXPECT_GT(peerTimeBudget(Milliseconds(4), Distance::OtherRegion), Milliseconds(0));
}

}
