#include "responsiveness/LoopDelayWindow.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// A single slow handler must not count as an event loop that is late all the time.
TEST(LoopDelayWindow, averagesOverTheWindow)
{
    LoopDelayWindow window;
    const Instant begin {Milliseconds(1'000)};
    window.add(begin, Milliseconds(0));
    window.add(begin + Milliseconds(500), Milliseconds(400));
    window.add(begin + Milliseconds(1'000), Milliseconds(20));
    window.add(begin + Milliseconds(1'500), Milliseconds(0));
    EXPECT_EQ(window.mean(), Milliseconds(105));
    EXPECT_EQ(window.longest(), Milliseconds(400));
}

// Delays from before an overload has ended must not count for ever.
TEST(LoopDelayWindow, forgetsOldMeasurements)
{
    LoopDelayWindow window;
    const Instant begin {Milliseconds(1'000)};
    window.add(begin, Milliseconds(900));
    window.add(begin + Milliseconds(2'001), Milliseconds(10));
    EXPECT_EQ(window.mean(), Milliseconds(10));
    EXPECT_EQ(window.longest(), Milliseconds(10));
}

// The first timers of a process are late because it loads its state.
TEST(LoopDelayWindow, isIncompleteUntilItsLengthHasPassed)
{
    LoopDelayWindow window;
    const Instant begin {Milliseconds(1'000)};
    EXPECT_FALSE(window.isComplete(begin));
    window.add(begin, Milliseconds(900));
    EXPECT_FALSE(window.isComplete(begin + Milliseconds(1'999)));
    EXPECT_TRUE(window.isComplete(begin + Milliseconds(2'000)));
}

// A handler of 1.2 s holds up the measurements that would show that the loop is in time otherwise.
TEST(LoopDelayWindow, weighsOneLongDelayByItsTime)
{
    LoopDelayWindow window;
    Instant at {Milliseconds(1'000)};
    constexpr Milliseconds Period {250};
    constexpr Milliseconds Longest {1'200};
    for (int i = 0; i < 8; ++i) {
        window.add(at, Milliseconds(0));
        at += Period;
    }
    at += Longest;
    window.add(at, Longest);
    for (int i = 0; i < 2; ++i) {
        at += Period;
        window.add(at, Milliseconds(0));
    }
    // The owner hands over from 150 ms on.
    EXPECT_LT(window.mean(), Milliseconds(150));
}

}
