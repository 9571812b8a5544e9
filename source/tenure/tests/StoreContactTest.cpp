#include "tenure/StoreContact.h"

#include "testing/FaultyStore.h"
#include "testing/ManualClock.h"
#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Tick {1};
constexpr Milliseconds Moment {10};
constexpr Milliseconds Silence {200};

class StoreContactTest : public testing::Test
{
protected:
    ManualClock m_clock;
    ManualScheduler m_scheduler {m_clock};
    StandinStore m_state {m_clock};
    FaultyStore m_store {m_state, m_scheduler};
    int m_answers = 0;
    StoreContact m_contact {m_clock, m_store, "key", [this] {
                                ++m_answers;
                            }};
};

}

TEST_F(StoreContactTest, knowsNothingBeforeTheFirstAnswer)
{
    EXPECT_FALSE(m_contact.hasAnsweredWithin(Silence));
    m_contact.ask();
    EXPECT_FALSE(m_contact.hasAnsweredWithin(Silence));
    m_scheduler.advance(Moment, Tick);
    EXPECT_TRUE(m_contact.hasAnsweredWithin(Silence));
    EXPECT_EQ(m_answers, 1);
}

// An answer counts only for a while, because the store may have gone away since.
TEST_F(StoreContactTest, forgetsAnswersThatAreOld)
{
    m_contact.noteAnswer();
    m_scheduler.advance(Silence, Tick);
    EXPECT_TRUE(m_contact.hasAnsweredWithin(Silence));
    m_scheduler.advance(Moment, Tick);
    EXPECT_FALSE(m_contact.hasAnsweredWithin(Silence));
    EXPECT_EQ(m_answers, 0);
}

TEST_F(StoreContactTest, takesAFailureForNoAnswer)
{
    m_store.down = true;
    m_contact.ask();
    m_scheduler.advance(Moment, Tick);
    EXPECT_FALSE(m_contact.hasAnsweredWithin(Silence));
    EXPECT_EQ(m_answers, 0);
    m_store.down = false;
    m_contact.ask();
    m_scheduler.advance(Moment, Tick);
    EXPECT_TRUE(m_contact.hasAnsweredWithin(Silence));
    EXPECT_EQ(m_answers, 1);
}

TEST_F(StoreContactTest, asksOnlyOnceAtATime)
{
    m_contact.ask();
    m_contact.ask();
    m_scheduler.advance(Moment, Tick);
    EXPECT_EQ(m_answers, 1);
}

}
