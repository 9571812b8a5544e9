#include "tenure/PredecessorTenure.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Begin {Milliseconds(100'000)};
constexpr Milliseconds Second {1'000};
constexpr Milliseconds OwnerLease {3'000};

}

TEST(PredecessorTenure, endsWithTheStoreLeaseWhileTheStoreAnswers)
{
    PredecessorTenure tenure(Begin, OwnerLease);
    for (int second = 0; second < 10; ++second) {
        tenure.observe(Begin + Second * second, Begin + Second * second + Milliseconds(900));
    }
    EXPECT_EQ(tenure.grantsEndAt(), Begin + OwnerLease);
}

// The replaced owner goes on until it hears that the outage is over.
TEST(PredecessorTenure, lastsUntilAnOutageIsOverThatBeganSoonAfterTheTakeOver)
{
    PredecessorTenure tenure(Begin, OwnerLease);
    tenure.observe(Begin + Second * 2, Begin + Second * 3);
    EXPECT_EQ(tenure.grantsEndAt(), Begin + OwnerLease);
    tenure.observe(Begin + Second * 2, Begin + Second * 14);
    EXPECT_EQ(tenure.grantsEndAt(), Begin + Second * 14 + OwnerLease);
    tenure.observe(Begin + Second * 15, Begin + Second * 15);
    EXPECT_EQ(tenure.grantsEndAt(), Begin + Second * 14 + OwnerLease);
}

// An owner that had to stop before the outage does not go on in it.
TEST(PredecessorTenure, isNotProlongedByALaterOutage)
{
    PredecessorTenure tenure(Begin, OwnerLease);
    tenure.observe(Begin + Second * 6, Begin + Second * 20);
    EXPECT_EQ(tenure.grantsEndAt(), Begin + OwnerLease);
}

}
