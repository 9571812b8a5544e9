#include "FaultyRelay.h"
#include "RelayedEcho.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class FaultyRelayTest : public ::testing::Test
{
protected:
    static constexpr Milliseconds Long {2'000};
    static constexpr Milliseconds Short {100};

    asio::io_context m_context {1};
    RelayedEcho m_echo {m_context};
    FaultyRelay m_relay {m_context, m_echo.relayPort(), m_echo.port()};
};

}

TEST_F(FaultyRelayTest, forwardsBothWaysAndCountsConnections)
{
    m_echo.connect();
    EXPECT_FALSE(m_echo.exchange());
    EXPECT_FALSE(m_echo.exchange());
    EXPECT_EQ(m_relay.counts().accepted, 1U);
    EXPECT_EQ(m_relay.counts().reset, 0U);
}

TEST_F(FaultyRelayTest, holdsEachPieceInBothDirections)
{
    constexpr Milliseconds Delay {40};
    m_relay.setFaults({Delay});
    m_echo.connect();
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_FALSE(m_echo.exchange());
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 2 * Delay);
}

TEST_F(FaultyRelayTest, resetsOpenConnectionsAgainAndAgain)
{
    FaultyRelay::Faults faults;
    faults.leastResetGap = Milliseconds(10);
    faults.mostResetGap = Milliseconds(30);
    m_relay.setFaults(faults);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        m_echo.connect();
        EXPECT_EQ(m_echo.awaitEnd(Long), asio::error::connection_reset);
        EXPECT_EQ(m_relay.counts().accepted, i);
        EXPECT_EQ(m_relay.counts().reset, i);
    }
}

TEST_F(FaultyRelayTest, resetsNothingMoreWhenTheFaultIsOver)
{
    FaultyRelay::Faults faults;
    faults.leastResetGap = Milliseconds(10);
    faults.mostResetGap = Milliseconds(30);
    m_relay.setFaults(faults);
    m_relay.setFaults({});
    m_echo.connect();
    EXPECT_EQ(m_echo.awaitEnd(Short), asio::error::would_block);
    EXPECT_FALSE(m_echo.exchange());
    EXPECT_EQ(m_relay.counts().reset, 0U);
}

TEST_F(FaultyRelayTest, endsConnectionsWithinAnswers)
{
    FaultyRelay::Faults faults;
    faults.partialAnswers = 1.0;
    m_relay.setFaults(faults);
    constexpr std::uint64_t Exchanges = 20;
    for (std::uint64_t i = 1; i <= Exchanges; ++i) {
        m_echo.connect();
        const asio::error_code error = m_echo.exchange();
        EXPECT_TRUE(error == asio::error::eof || error == asio::error::connection_reset) << error.message();
        EXPECT_EQ(m_relay.counts().cutBodies, i);
    }
    EXPECT_EQ(m_relay.counts().cutHeads, 0U);
}

TEST_F(FaultyRelayTest, deliversAnswersAfterTheirTargetHasRestarted)
{
    FaultyRelay::Faults faults;
    faults.answersCut = true;
    m_relay.setFaults(faults);
    m_echo.connect();
    ASSERT_EQ(m_echo.exchangeWithin(Short), asio::error::would_block);
    m_relay.noteRestart();
    m_relay.setFaults({});
    EXPECT_FALSE(m_echo.awaitEnd(Long));
    EXPECT_EQ(m_relay.counts().outdated, 1U);
    EXPECT_FALSE(m_echo.exchange());
    EXPECT_EQ(m_relay.counts().outdated, 1U);
}

}
