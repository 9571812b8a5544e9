#include "configuration/PrefixWatcher.h"
#include "testing/FaultyStore.h"
#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// Uses a store in which an entry below the prefix changes every 10 ms.
class PrefixWatcherTest : public testing::Test
{
protected:
    PrefixWatcherTest() : m_scheduler(m_clock), m_state(m_clock), m_store(m_state, m_scheduler)
    {
    }

    // Follows the changes for one second and returns the number of watch calls.
    int follow(Milliseconds batchDelay)
    {
        constexpr Milliseconds Step {10};
        constexpr Milliseconds Duration {1'000};
        PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/", PrefixWatcher::LongestWatchWait, batchDelay);
        watcher.start();
        int number = 0;
        for (Milliseconds elapsed {0}; elapsed < Duration; elapsed += Step) {
            m_lastValue = std::to_string(number++);
            EXPECT_EQ(errorOf(m_state.write({"servers/" + std::to_string(number % 7), m_lastValue, std::nullopt, 0})),
                nullptr);
            m_scheduler.advance(Step, Step);
            m_state.advance();
        }
        m_scheduler.advance(Duration, Step);
        m_state.advance();
        m_scheduler.advance(Step, Step);
        EXPECT_EQ(m_entries.find("servers/" + std::to_string(number % 7))->value, m_lastValue);
        return m_store.watches;
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler;
    StandinStore m_state;
    FaultyStore m_store;
    VersionedEntries m_entries {[](const std::string &) {
    }};
    std::string m_lastValue;
};

}

// Guards against one watch call per change when hundreds of workers update their entries continuously.
TEST_F(PrefixWatcherTest, sharesOneCallAmongManyChanges)
{
    EXPECT_LE(follow(Milliseconds(300)), 6);
}

// The watch waits already when a transaction changes two entries.
TEST_F(PrefixWatcherTest, noticesAllChangesOfOneTransaction)
{
    PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/");
    watcher.start();
    m_scheduler.advance(Milliseconds(20), Milliseconds(5));
    ASSERT_EQ(m_store.watches, 1);
    StoreTransaction transaction;
    transaction.writes = {{"servers/0", "up", std::nullopt, 0}, {"servers/1", "up", std::nullopt, 0}};
    ASSERT_EQ(errorOf(m_state.commit(transaction)), nullptr);
    m_scheduler.advance(Milliseconds(20), Milliseconds(5));
    EXPECT_NE(m_entries.find("servers/0"), nullptr);
    EXPECT_NE(m_entries.find("servers/1"), nullptr);
}

// Guards against a growing backlog when thousands of workers change more entries within the batch delay than the store
// returns in one answer.
TEST_F(PrefixWatcherTest, watchesAgainAtOnceAfterLargeBatch)
{
    constexpr Milliseconds BatchDelay {300};
    constexpr int Workers = 250;
    PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/", PrefixWatcher::LongestWatchWait, BatchDelay);
    watcher.start();
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

TEST_F(PrefixWatcherTest, watchesAgainAtOnceWithoutBatchDelay)
{
    EXPECT_GE(follow(Milliseconds(0)), 50);
}

// Guards against instances that repeat large transfers over a shared link until none of them can be completed.
TEST_F(PrefixWatcherTest, listsLessOftenWhileCallsFail)
{
    constexpr Milliseconds Outage {30'000};
    PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/");
    m_store.down = true;
    watcher.start();
    m_scheduler.advance(Outage, Milliseconds(10));
    EXPECT_GE(m_store.lists, Outage / PrefixWatcher::LongestRetryDelay);
    EXPECT_LT(m_store.lists, Outage / Milliseconds(700));
}

TEST_F(PrefixWatcherTest, watchesLessOftenWhileCallsFail)
{
    constexpr Milliseconds Outage {30'000};
    PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/", Milliseconds(100));
    watcher.start();
    m_scheduler.advance(Milliseconds(20), Milliseconds(5));
    m_store.down = true;
    m_scheduler.advance(Milliseconds(200), Milliseconds(10));
    m_state.advance();
    m_store.watches = 0;
    m_scheduler.advance(Outage, Milliseconds(10));
    EXPECT_EQ(m_store.lists, 1);
    EXPECT_GE(m_store.watches, Outage / PrefixWatcher::LongestRetryDelay);
    EXPECT_LT(m_store.watches, Outage / Milliseconds(700));
}

// Guards against a listing that is fetched again without a pause when the history is shorter than a transfer takes.
TEST_F(PrefixWatcherTest, listsLessOftenWhileTheHistoryIsTooShort)
{
    constexpr Milliseconds Duration {30'000};
    PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/");
    m_store.hasNoHistory = true;
    watcher.start();
    m_scheduler.advance(Duration, Milliseconds(10));
    EXPECT_LT(m_store.lists, Duration / Milliseconds(700));
    m_store.hasNoHistory = false;
    ASSERT_EQ(errorOf(m_state.write({"servers/0", "up", std::nullopt, 0})), nullptr);
    m_scheduler.advance(PrefixWatcher::LongestRetryDelay + Milliseconds(20), Milliseconds(10));
    EXPECT_NE(m_entries.find("servers/0"), nullptr);
}

// A configuration change must take effect within 3 seconds, however long the outage before it was.
TEST_F(PrefixWatcherTest, noticesChangesSoonAfterAnOutage)
{
    PrefixWatcher watcher(m_store, m_scheduler, m_entries, "servers/", Milliseconds(100));
    m_store.down = true;
    watcher.start();
    for (const Milliseconds outage : {Milliseconds(1'000), Milliseconds(10'000), Milliseconds(60'000)}) {
        m_store.down = true;
        m_scheduler.advance(Milliseconds(200), Milliseconds(10));
        m_state.advance();
        m_scheduler.advance(outage, Milliseconds(10));
        ASSERT_FALSE(watcher.lastCallSucceeded());
        m_store.down = false;
        const std::string value = std::to_string(outage.count());
        ASSERT_EQ(errorOf(m_state.write({"servers/0", value, std::nullopt, 0})), nullptr);
        m_scheduler.advance(PrefixWatcher::LongestRetryDelay + Milliseconds(20), Milliseconds(10));
        ASSERT_NE(m_entries.find("servers/0"), nullptr);
        EXPECT_EQ(m_entries.find("servers/0")->value, value);
        EXPECT_TRUE(watcher.lastCallSucceeded());
    }
}

}
