#include "http/CurlHttpClient.h"
#include "testing/SlowHttpServer.h"

#include <gtest/gtest.h>
#include <optional>

namespace Wagtail
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr long StallMilliseconds = 300;
constexpr long TotalMilliseconds = 5'000;
constexpr milliseconds PartInterval {100};
constexpr std::size_t PartBytes = 1'000;

class LongAnswerTest : public testing::Test
{
protected:
    // Calls a server that announces as many parts as expected and sends as many as given.
    HttpAnswer call(std::size_t announcedParts, std::size_t sentParts, milliseconds delay = milliseconds(0))
    {
        const SlowHttpServer server(
            m_context, {std::string(announcedParts * PartBytes, 'x'), PartBytes, sentParts, delay, PartInterval});
        HttpCall call;
        call.method = "GET";
        call.url = server.baseAddress() + "/";
        call.timeoutMilliseconds = StallMilliseconds;
        call.longAnswer = limits;
        std::optional<HttpAnswer> answer;
        const Clock::time_point sentAt = Clock::now();
        m_client.send(std::move(call), [&answer](HttpAnswer given) { answer = std::move(given); });
        while (!answer) {
            m_context.run_for(milliseconds(5));
            m_context.restart();
        }
        elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt);
        return *std::move(answer);
    }

    std::optional<LongAnswerLimits> limits = LongAnswerLimits {StallMilliseconds, TotalMilliseconds};
    milliseconds elapsed {0};

private:
    asio::io_context m_context {1};
    CurlHttpClient m_client {m_context, 4};
};

}

// Guards against large answers that are cut and repeated for ever on a link that many calls share.
TEST_F(LongAnswerTest, isNotGivenUpWhileItArrives)
{
    const HttpAnswer answer = call(10, 10);
    EXPECT_EQ(answer.delivery, Delivery::Answered);
    EXPECT_EQ(answer.body.size(), 10 * PartBytes);
    EXPECT_GT(elapsed, milliseconds(StallMilliseconds));
}

TEST_F(LongAnswerTest, isGivenUpWhenItStalls)
{
    EXPECT_EQ(call(10, 3).delivery, Delivery::Lost);
    EXPECT_GE(elapsed, 2 * PartInterval + milliseconds(StallMilliseconds));
    EXPECT_LT(elapsed, 2 * PartInterval + milliseconds(StallMilliseconds * 3));
}

TEST_F(LongAnswerTest, isGivenUpWhenItDoesNotBegin)
{
    EXPECT_EQ(call(1, 0).delivery, Delivery::Lost);
    EXPECT_GE(elapsed, milliseconds(StallMilliseconds));
    EXPECT_LT(elapsed, milliseconds(StallMilliseconds * 3));
}

TEST_F(LongAnswerTest, isGivenUpWhenItBeginsTooLate)
{
    EXPECT_EQ(call(1, 1, milliseconds(StallMilliseconds * 4)).delivery, Delivery::Lost);
    EXPECT_LT(elapsed, milliseconds(StallMilliseconds * 3));
}

TEST_F(LongAnswerTest, isGivenUpAfterTheTotalEvenThoughItArrives)
{
    limits->totalMilliseconds = StallMilliseconds * 2;
    EXPECT_EQ(call(30, 30).delivery, Delivery::Lost);
    EXPECT_LT(elapsed, milliseconds(StallMilliseconds * 4));
}

TEST_F(LongAnswerTest, isGivenUpAfterTheTimeoutWithoutLimits)
{
    limits.reset();
    EXPECT_EQ(call(10, 10).delivery, Delivery::Lost);
    EXPECT_LT(elapsed, milliseconds(StallMilliseconds * 3));
}

}
