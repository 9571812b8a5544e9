#include "tenure/UnsettledSubmissions.h"

#include "testing/ManualClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

using Effect = UnsettledSubmissions::Effect;

constexpr Milliseconds Second {1'000};

class UnsettledSubmissionsTest : public testing::Test
{
protected:
    ManualClock m_clock;
    UnsettledSubmissions m_submissions {m_clock};
};

}

TEST_F(UnsettledSubmissionsTest, mayBeAcceptedUntilAllOfThemAreAnswered)
{
    EXPECT_FALSE(m_submissions.mayBeAccepted("job"));
    m_submissions.sent("job");
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::None);
    EXPECT_TRUE(m_submissions.mayBeAccepted("job"));
    m_submissions.answered("job", Effect::None);
    EXPECT_FALSE(m_submissions.mayBeAccepted("job"));
    EXPECT_FALSE(m_submissions.mayBeAccepted("other"));
}

// A refusal of a later copy was believed although the first one, which got no answer, could still be carried out.
TEST_F(UnsettledSubmissionsTest, mayBeAcceptedForAWhileAfterOneGotNoAnswer)
{
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::Unknown);
    m_clock.advance(Second * 10);
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::None);
    EXPECT_TRUE(m_submissions.mayBeAccepted("job"));
    m_clock.advance(Second * 30);
    EXPECT_FALSE(m_submissions.mayBeAccepted("job"));
}

TEST_F(UnsettledSubmissionsTest, countFromTheLastOneWithoutAnAnswer)
{
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::Unknown);
    m_clock.advance(Second * 20);
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::Unknown);
    m_clock.advance(Second * 20);
    // Forgets the first loss and not the second one.
    m_submissions.sent("other");
    m_submissions.answered("other", Effect::None);
    EXPECT_TRUE(m_submissions.mayBeAccepted("job"));
}

TEST_F(UnsettledSubmissionsTest, areSettledByAnAcceptance)
{
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::Unknown);
    m_submissions.sent("job");
    m_submissions.answered("job", Effect::Accepted);
    EXPECT_FALSE(m_submissions.mayBeAccepted("job"));
}

}
