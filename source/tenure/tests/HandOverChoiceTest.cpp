#include "tenure/HandOverChoice.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Now {Milliseconds(100'000)};
const InstanceLoad Late {Milliseconds(300), Milliseconds(500), std::chrono::microseconds(250)};
const InstanceLoad InTime {Milliseconds(10), Milliseconds(50), std::chrono::microseconds(250)};

OwnedPartition partition(std::vector<OwnerCandidate> candidates, Milliseconds termAge = Milliseconds(60'000))
{
    return {"fleet", Now - termAge, std::move(candidates)};
}

const OwnerCandidate Self {"self", 1, true, 50, 1, true};
const OwnerCandidate Fast {"fast", 1, true, 250, 0, false};

}

// The owner runs five times slower than an idle instance and falls behind.
TEST(HandOverChoice, prefersAFasterInstanceToALateOwner)
{
    EXPECT_EQ(chooseHandOver("self", Late, {partition({Self, Fast})}, Now), (HandOverDecision {"fleet", "fast"}));
}

// A slow owner that keeps up has no reason to give its partition away.
TEST(HandOverChoice, keepsThePartitionsOfAnOwnerInTime)
{
    EXPECT_EQ(chooseHandOver("self", InTime, {partition({Self, Fast})}, Now), std::nullopt);
}

// Where a burst makes every owner late, hand-overs between equals would go on and on.
TEST(HandOverChoice, keepsThePartitionIfNoInstanceIsFaster)
{
    const OwnerCandidate usual {"self", 1, true, 250, 1, false};
    EXPECT_EQ(chooseHandOver("self", Late, {partition({usual, Fast})}, Now), std::nullopt);
    const OwnerCandidate slow {"slow", 1, true, 50, 0, true};
    EXPECT_EQ(chooseHandOver("self", Late, {partition({Self, slow})}, Now), std::nullopt);
}

// The faster instance owns so many partitions that each gets as little as here.
TEST(HandOverChoice, countsThePartitionsOfTheSuccessor)
{
    const OwnerCandidate busy {"busy", 1, true, 250, 2, false};
    EXPECT_EQ(chooseHandOver("self", Late, {partition({Self, busy})}, Now), std::nullopt);
}

// A successor is late while it loads the partition.
TEST(HandOverChoice, letsEachTermLastForSomeTime)
{
    EXPECT_EQ(chooseHandOver("self", Late, {partition({Self, Fast}, Milliseconds(4'900))}, Now), std::nullopt);
}

// An instance with several partitions sheds one to an idle instance of equal speed.
TEST(HandOverChoice, shedsOneOfSeveralPartitions)
{
    const OwnerCandidate usual {"self", 1, true, 250, 2, false};
    const OwnedPartition second {"second", Now - Milliseconds(60'000), {usual, Fast}};
    EXPECT_EQ(
        chooseHandOver("self", Late, {partition({usual, Fast}), second}, Now), (HandOverDecision {"fleet", "fast"}));
}

// This instance would precede the faster one after the release, and take the partition back.
TEST(HandOverChoice, keepsThePartitionIfItWouldTakeItBack)
{
    const OwnerCandidate near {"self", 1, true, 100, 1, false};
    const OwnerCandidate far {"far", 0, false, 500, 0, false};
    EXPECT_EQ(chooseHandOver("self", Late, {partition({near, far})}, Now), std::nullopt);
}

}
