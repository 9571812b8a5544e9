#include "responsiveness/SpeedAnnouncement.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Instant Start {Milliseconds(100'000)};
using std::chrono::microseconds;

}

// Every announcement is a write to the store that all instances read, so noise must not cause any.
TEST(SpeedAnnouncement, ignoresSmallChanges)
{
    SpeedAnnouncement announcement;
    announcement.noteAnnounced(microseconds(50), Start);
    EXPECT_FALSE(announcement.isDue(microseconds(75), Start + Milliseconds(60'000)));
    EXPECT_FALSE(announcement.isDue(microseconds(34), Start + Milliseconds(60'000)));
}

TEST(SpeedAnnouncement, announcesAnInstanceThatTurnsSlowAndFastAgain)
{
    SpeedAnnouncement announcement;
    announcement.noteAnnounced(microseconds(50), Start);
    EXPECT_TRUE(announcement.isDue(microseconds(250), Start + Milliseconds(3'000)));
    EXPECT_FALSE(announcement.isDue(microseconds(250), Start + Milliseconds(60'000)));
    EXPECT_TRUE(announcement.isDue(microseconds(50), Start + Milliseconds(60'000)));
}

// An instance whose speed changes all the time must not write to the store with every tick.
TEST(SpeedAnnouncement, pausesBetweenAnnouncements)
{
    SpeedAnnouncement announcement;
    announcement.noteAnnounced(microseconds(50), Start);
    EXPECT_FALSE(announcement.isDue(microseconds(250), Start + Milliseconds(1'900)));
    EXPECT_TRUE(announcement.isDue(microseconds(250), Start + Milliseconds(2'000)));
}

}
