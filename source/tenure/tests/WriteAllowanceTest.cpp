#include "tenure/WriteAllowance.h"

#include "testing/ManualClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class WriteAllowanceTest : public testing::Test
{
protected:
    // Takes writes until none is left, and returns their number.
    int takeAll()
    {
        int taken = 0;
        while (taken <= WriteAllowance::MostAtOnce && m_allowance.tryTake()) {
            ++taken;
        }
        return taken;
    }

    ManualClock m_clock;
    WriteAllowance m_allowance {m_clock};
};

}

TEST_F(WriteAllowanceTest, allowsSoManyWritesAtOnce)
{
    EXPECT_EQ(takeAll(), WriteAllowance::MostAtOnce);
}

TEST_F(WriteAllowanceTest, allowsOneMoreInEachPeriod)
{
    takeAll();
    m_clock.advance(WriteAllowance::Period - Milliseconds(1));
    EXPECT_EQ(takeAll(), 0);
    m_clock.advance(Milliseconds(1));
    EXPECT_EQ(takeAll(), 1);
    m_clock.advance(WriteAllowance::Period * 3);
    EXPECT_EQ(takeAll(), 3);
}

TEST_F(WriteAllowanceTest, doesNotGrowBeyondItsLimit)
{
    takeAll();
    m_clock.advance(WriteAllowance::Period * WriteAllowance::MostAtOnce * 5);
    EXPECT_EQ(takeAll(), WriteAllowance::MostAtOnce);
}

}
