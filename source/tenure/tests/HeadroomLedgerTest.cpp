#include "tenure/HeadroomLedger.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

PoolHeadrooms report(std::int64_t free)
{
    PoolHeadroom headroom;
    headroom.capacity = 10'000;
    headroom.freeBesideLongRunning = free;
    return {{"pool", headroom}};
}

class HeadroomLedgerTest : public testing::Test
{
protected:
    [[nodiscard]] std::int64_t free() const
    {
        return m_ledger.headrooms().at("other").at("pool").freeBesideLongRunning;
    }

    ManualClock m_clock;
    HeadroomLedger m_ledger {m_clock};
};

}

// The report was made before the tasks arrived, so the same room was given away twice.
TEST_F(HeadroomLedgerTest, deductsWhatWasSentFromAReportThatCannotShowIt)
{
    m_ledger.update("other", report(4'000));
    m_ledger.reserve("other", "pool", 3'000);
    EXPECT_EQ(free(), 1'000);
    m_clock.advance(Milliseconds(100));
    m_ledger.update("other", report(4'000));
    EXPECT_EQ(free(), 1'000);
    m_clock.advance(Second);
    m_ledger.update("other", report(2'000));
    EXPECT_EQ(free(), 2'000);
}

TEST_F(HeadroomLedgerTest, deductsARedirectedJobUntilTheNextReport)
{
    m_ledger.update("other", report(4'000));
    m_ledger.reserveUntilReport("other", "pool", 3'000);
    EXPECT_EQ(free(), 1'000);
    m_ledger.update("other", report(1'000));
    EXPECT_EQ(free(), 1'000);
}

// A partition that had no worker for tasks gets none of the job for a while, and none of others for a short time.
TEST_F(HeadroomLedgerTest, avoidsAPartitionThatHasGivenTasksBack)
{
    m_ledger.refuse("other", "pool", "job");
    EXPECT_EQ(m_ledger.avoided("pool", "job"), (std::set<std::string> {"other"}));
    EXPECT_EQ(m_ledger.avoided("pool", "second"), (std::set<std::string> {"other"}));
    EXPECT_TRUE(m_ledger.avoided("elsewhere", "job").empty());
    m_clock.advance(Second);
    EXPECT_EQ(m_ledger.avoided("pool", "job"), (std::set<std::string> {"other"}));
    EXPECT_TRUE(m_ledger.avoided("pool", "second").empty());
    m_clock.advance(Second * 2);
    EXPECT_TRUE(m_ledger.avoided("pool", "job").empty());
}

// The owner is gone. Tasks that are sent to its partition wait for the next one.
TEST_F(HeadroomLedgerTest, avoidsAPartitionThatReportsNoMore)
{
    m_ledger.update("other", report(4'000));
    m_clock.advance(Milliseconds(1'500));
    EXPECT_TRUE(m_ledger.avoided("pool", "job").empty());
    m_clock.advance(Milliseconds(1));
    EXPECT_EQ(m_ledger.avoided("pool", "job"), (std::set<std::string> {"other"}));
    m_ledger.update("other", report(4'000));
    EXPECT_TRUE(m_ledger.avoided("pool", "job").empty());
}

}
