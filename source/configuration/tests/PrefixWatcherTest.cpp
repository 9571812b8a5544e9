#include "configuration/PrefixWatcher.h"
#include "testing/FaultyStore.h"
#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// A store in which some entry below the prefix changes every 10 ms.
class ClusterFeedTest : public testing::Test
{
protected:
    ClusterFeedTest() : m_scheduler(m_clock), m_state(m_clock), m_store(m_state, m_scheduler)
    {
    }

    // Follows the entries for a second and returns how many watches that took.
    int follow(Milliseconds gatherTime)
    {
        constexpr Milliseconds Step {10};
        constexpr Milliseconds Watched {1'000};
        PrefixWatcher feed(m_store, m_scheduler, m_entries, "servers/", PrefixWatcher::LongestWatchWait, gatherTime);
        feed.start();
        int number = 0;
        for (Milliseconds passed {0}; passed < Watched; passed += Step) {
            m_last = std::to_string(number++);
            EXPECT_EQ(
                errorOf(m_state.write({"servers/" + std::to_string(number % 7), m_last, std::nullopt, 0})), nullptr);
            m_scheduler.advance(Step, Step);
            m_state.advance();
        }
        m_scheduler.advance(Watched, Step);
        m_state.advance();
        m_scheduler.advance(Step, Step);
        EXPECT_EQ(m_entries.find("servers/" + std::to_string(number % 7))->value, m_last);
        return m_store.watches;
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler;
    StandinStore m_state;
    FaultyStore m_store;
    VersionedEntries m_entries {[](const std::string &) {
    }};
    std::string m_last;
};

}

// Load: hundreds of workers that change their entries all the time.
TEST_F(ClusterFeedTest, sharesACallAmongManyChanges)
{
    EXPECT_LE(follow(Milliseconds(300)), 6);
}

// Load: thousands of workers, whose changes within the gather time are more than the store gives in one answer.
TEST_F(ClusterFeedTest, doesNotFallBehindMoreChangesThanOneAnswerHolds)
{
    constexpr Milliseconds GatherTime {300};
    constexpr int Workers = 250;
    PrefixWatcher feed(m_store, m_scheduler, m_entries, "servers/", PrefixWatcher::LongestWatchWait, GatherTime);
    feed.start();
    m_scheduler.advance(Milliseconds(10), Milliseconds(10));
    const auto writeAll = [this](const std::string &value) {
        StoreTransaction transaction;
        for (int i = 0; i < Workers; ++i) {
            transaction.writes.push_back({"servers/" + std::to_string(i), value, std::nullopt, 0});
        }
        EXPECT_EQ(errorOf(m_state.commit(transaction)), nullptr);
    };
    writeAll("first");
    m_scheduler.advance(Milliseconds(20), Milliseconds(5));
    ASSERT_EQ(m_entries.find("servers/0")->value, "first");
    writeAll("second");
    m_scheduler.advance(Milliseconds(20), Milliseconds(5));
    EXPECT_EQ(m_entries.find("servers/0")->value, "second");
}

TEST_F(ClusterFeedTest, followsEachChangeWhenNothingIsToBeGathered)
{
    EXPECT_GE(follow(Milliseconds(0)), 50);
}

}
