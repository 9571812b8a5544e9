#include "tenure/KnownInstances.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

const InstanceEntry Weak {"weak", "weak:1", "depot", "wheatbelt", "life", 120};
const InstanceEntry Strong {"strong", "strong:1", "depot", "wheatbelt", "life", 500};
constexpr Instant Begin {Milliseconds(100'000)};

std::size_t countAt(const KnownInstances &known, Instant now)
{
    return known.candidates(now).size();
}

}

TEST(KnownInstances, dropsUnlistedInstancesAtOnce)
{
    KnownInstances known;
    known.observe({Weak, Strong}, Begin);
    known.observe({Weak}, Begin + Milliseconds(100));
    EXPECT_EQ(known.candidates(Begin + Milliseconds(100)), std::vector<InstanceEntry> {Weak});
}

// The store dropped all leases during an outage, and instances register again one by one.
TEST(KnownInstances, keepsUnlistedInstancesForAWhileAfterALostLease)
{
    KnownInstances known;
    known.observe({Weak, Strong}, Begin);
    const Instant back = Begin + Milliseconds(3'000);
    known.noteLeaseMissing(back);
    known.observe({Weak}, back);
    EXPECT_EQ(countAt(known, back + Milliseconds(1'000)), 2U);
    known.observe({Weak}, back + Milliseconds(5'000));
    EXPECT_EQ(countAt(known, back + Milliseconds(5'000)), 1U);
}

TEST(KnownInstances, dropsInstancesAfterTheRetentionTimeDespiteALostLease)
{
    KnownInstances known;
    known.observe({Strong}, Begin);
    const Instant later = Begin + Milliseconds(20'000);
    known.noteLeaseMissing(later);
    known.observe({Weak}, later);
    EXPECT_EQ(known.candidates(later), std::vector<InstanceEntry> {Weak});
}

}
