#include "http/CurlHttpClient.h"
#include "testing/ResettingHttpServer.h"

#include <gtest/gtest.h>
#include <optional>

namespace Wagtail
{

namespace
{

using Reaction = ResettingHttpServer::Reaction;

HttpAnswer answerOf(Reaction reaction)
{
    asio::io_context context {1};
    const ResettingHttpServer server(context, {reaction});
    CurlHttpClient client(context, 4);
    HttpCall call;
    call.method = "POST";
    call.url = server.baseAddress() + "/";
    std::optional<HttpAnswer> answer;
    client.send(std::move(call), [&answer](HttpAnswer given) { answer = std::move(given); });
    while (!answer) {
        context.run_one();
    }
    EXPECT_EQ(server.receivedCalls(), 1U);
    return *std::move(answer);
}

}

TEST(PartialAnswerTest, isNoAnswerIfItEndsWithinItsHead)
{
    EXPECT_EQ(answerOf(Reaction::AnswerWithinHead).delivery, Delivery::Lost);
}

TEST(PartialAnswerTest, isNoAnswerIfItEndsWithinItsBody)
{
    EXPECT_EQ(answerOf(Reaction::AnswerWithinBody).delivery, Delivery::Lost);
    EXPECT_EQ(answerOf(Reaction::AnswerWithinChunk).delivery, Delivery::Lost);
}

TEST(PartialAnswerTest, isAnAnswerIfTheConnectionEndsAfterIt)
{
    EXPECT_EQ(answerOf(Reaction::AnswerAndClose).delivery, Delivery::Answered);
}

}
