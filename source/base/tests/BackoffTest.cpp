#include "base/Backoff.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds First {500};
constexpr Milliseconds Longest {1'500};

}

TEST(Backoff, doublesUpToTheLongestDelay)
{
    Backoff backoff(First, Longest, [] { return 1.0; });
    EXPECT_EQ(backoff.next(), Milliseconds(500));
    EXPECT_EQ(backoff.next(), Milliseconds(1'000));
    EXPECT_EQ(backoff.next(), Longest);
    EXPECT_EQ(backoff.next(), Longest);
    backoff.reset();
    EXPECT_EQ(backoff.next(), First);
}

TEST(Backoff, shortensDelaysByUpToAHalf)
{
    Backoff backoff(First, Longest, [] { return 0.0; });
    EXPECT_EQ(backoff.next(), Milliseconds(250));
    EXPECT_EQ(backoff.next(), Milliseconds(500));
    EXPECT_EQ(backoff.next(), Milliseconds(750));
}

// Guards against callers that failed together and repeat together for ever.
TEST(Backoff, differsBetweenCallers)
{
    constexpr int Attempts = 10;
    Backoff one(First, Longest);
    Backoff other(First, Longest);
    int equal = 0;
    for (int i = 0; i < Attempts; ++i) {
        equal += one.next() == other.next() ? 1 : 0;
    }
    EXPECT_LT(equal, Attempts);
}

}
