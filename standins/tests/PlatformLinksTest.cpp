#include "PlatformLinks.h"
#include "RelayedEcho.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class PlatformLinksTest : public ::testing::Test
{
protected:
    static constexpr Milliseconds Long {2'000};
    static constexpr Milliseconds Short {100};

    PlatformLinksTest()
    {
        m_links.add("worker", m_echo.relayPort(), m_echo.port());
        m_links.add("peer", m_peerEcho.relayPort(), m_peerEcho.port());
    }

    static Json resets(const std::string &kind, std::size_t link)
    {
        return {{"kind", kind}, {"links", {link}}, {"least_reset_gap_ms", 10}, {"most_reset_gap_ms", 30}};
    }

    static Json counts(int accepted, int reset)
    {
        return {{"accepted", accepted}, {"reset", reset}, {"cut_heads", 0}, {"cut_bodies", 0}, {"outdated", 0}};
    }

    asio::io_context m_context {1};
    RelayedEcho m_echo {m_context};
    RelayedEcho m_peerEcho {m_context};
    PlatformLinks m_links {m_context};
};

}

TEST_F(PlatformLinksTest, resetsTheNamedLinkOfTheKind)
{
    m_echo.connect();
    ASSERT_FALSE(m_echo.exchange());
    m_links.apply(resets("worker", 0));
    EXPECT_EQ(m_echo.awaitEnd(Long), asio::error::connection_reset);
    EXPECT_EQ(m_links.counts()["worker"], counts(1, 1));
    EXPECT_EQ(m_links.counts()["peer"], counts(0, 0));
}

TEST_F(PlatformLinksTest, leavesOtherLinksAlone)
{
    m_echo.connect();
    m_links.apply(resets("worker", 1));
    m_links.apply(resets("peer", 0));
    m_links.apply(resets("no such kind", 0));
    EXPECT_EQ(m_echo.awaitEnd(Short), asio::error::would_block);
    EXPECT_FALSE(m_echo.exchange());
}

TEST_F(PlatformLinksTest, endsFaultsThatTheNextOrderDoesNotName)
{
    m_links.apply(resets("worker", 0));
    m_links.apply({{"kind", "worker"}, {"links", {0}}});
    m_echo.connect();
    EXPECT_EQ(m_echo.awaitEnd(Short), asio::error::would_block);
    EXPECT_FALSE(m_echo.exchange());
    EXPECT_EQ(m_links.counts()["worker"], counts(1, 0));
}

TEST_F(PlatformLinksTest, cutsAnswersShort)
{
    m_links.apply({{"kind", "worker"}, {"links", {0}}, {"partial_answers", 1.0}});
    m_echo.connect();
    EXPECT_TRUE(m_echo.exchange());
    EXPECT_EQ(m_links.counts()["worker"]["cut_bodies"], 1);
    EXPECT_EQ(m_links.counts()["peer"]["cut_bodies"], 0);
}

}
