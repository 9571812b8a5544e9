#include "tenure/OutageTenure.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Start {Milliseconds(100'000)};
constexpr Milliseconds Second {1'000};

}

// Starts and renewals go on while the store is away for all.
TEST(OutageTenure, goesOnInAnOutageThatIsConfirmedInTime)
{
    OutageTenure tenure;
    tenure.observe(true, false, Start);
    tenure.observe(false, false, Start + Second);
    EXPECT_FALSE(tenure.mayGoOn());
    tenure.observe(false, true, Start + Second * 2);
    EXPECT_TRUE(tenure.mayGoOn());
    tenure.observe(false, true, Start + Second * 60);
    EXPECT_TRUE(tenure.mayGoOn());
}

// A successor may have taken over between the end of the lease and the outage.
TEST(OutageTenure, stopsForGoodIfTheOutageIsConfirmedLate)
{
    OutageTenure tenure;
    tenure.observe(true, false, Start);
    tenure.observe(false, false, Start + Second * 3);
    tenure.observe(false, true, Start + Second * 4);
    EXPECT_FALSE(tenure.mayGoOn());
}

// The store was back for a moment, in which a successor may have taken over.
TEST(OutageTenure, stopsForGoodWhenAConfirmedOutageIsOver)
{
    OutageTenure tenure;
    tenure.observe(true, false, Start);
    tenure.observe(false, true, Start + Second);
    tenure.observe(false, false, Start + Second * 5);
    tenure.observe(false, true, Start + Second * 7);
    EXPECT_FALSE(tenure.mayGoOn());
    tenure.observe(true, false, Start + Second * 8);
    EXPECT_TRUE(tenure.mayGoOn());
}

}
