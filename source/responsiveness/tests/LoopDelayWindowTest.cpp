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

}
