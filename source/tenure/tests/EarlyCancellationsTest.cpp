#include "tenure/EarlyCancellations.h"

#include "testing/ManualClock.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

class EarlyCancellationsTest : public testing::Test
{
protected:
    ManualClock m_clock;
    EarlyCancellations m_cancellations {m_clock};
};

}

TEST_F(EarlyCancellationsTest, areKeptForTheirLifetime)
{
    m_cancellations.add("first");
    m_clock.advance(Second);
    m_cancellations.add("second");
    m_clock.advance(EarlyCancellations::Lifetime - Second * 2);
    EXPECT_THAT(m_cancellations.removeExpired(), testing::IsEmpty());
    m_clock.advance(Second);
    EXPECT_THAT(m_cancellations.removeExpired(), testing::ElementsAre("first"));
    EXPECT_FALSE(m_cancellations.contains("first"));
    EXPECT_TRUE(m_cancellations.contains("second"));
}

TEST_F(EarlyCancellationsTest, areKeptLongerIfTheyAreRepeated)
{
    m_cancellations.add("job");
    m_clock.advance(EarlyCancellations::Lifetime - Second);
    m_cancellations.add("job");
    m_clock.advance(Second * 2);
    EXPECT_THAT(m_cancellations.removeExpired(), testing::IsEmpty());
    EXPECT_TRUE(m_cancellations.contains("job"));
}

TEST_F(EarlyCancellationsTest, areForgottenOnceTheJobIsKnown)
{
    m_cancellations.add("job");
    m_cancellations.remove("job");
    EXPECT_FALSE(m_cancellations.contains("job"));
    m_clock.advance(EarlyCancellations::Lifetime);
    EXPECT_THAT(m_cancellations.removeExpired(), testing::IsEmpty());
}

}
