#include "peers/PeerMessages.h"
#include "peers/Http2PeerCaller.h"
#include "peers/PeerServer.h"

#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace Wagtail
{

namespace
{

// Tests run side by side, each in a process of its own.
const auto TestPort = static_cast<std::uint16_t>(24'000 + ::getpid() % 5'000);

// Runs a server that echoes and a caller on one context.
class EchoPair
{
public:
    EchoPair() : caller(context)
    {
        auto created = PeerServer::create(context, "127.0.0.1", TestPort, [this](PeerMessage message, PeerReply reply) {
            ++served;
            if (message.kind == "fail") {
                reply(Error {ErrorKind::Conflict, "the detail", "the remedy"});
            } else if (message.kind != "silent") {
                reply(message.body);
            } else {
                silent.push_back(std::move(reply));
            }
        });
        server = std::move(std::get<std::unique_ptr<PeerServer>>(created));
    }

    ~EchoPair()
    {
        server->close();
        context.run_for(std::chrono::milliseconds(20));
    }

    Result<std::string> call(
        const std::string &kind, const std::string &body, Milliseconds timeout = Milliseconds(2000))
    {
        std::optional<Result<std::string>> answer;
        caller.call("127.0.0.1:" + std::to_string(TestPort), {kind, body}, timeout,
            [&answer](Result<std::string> result) { answer = std::move(result); });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!answer && std::chrono::steady_clock::now() < end) {
            context.run_for(std::chrono::milliseconds(5));
            context.restart();
        }
        return answer.value_or(Error {ErrorKind::Internal, "no answer in the test", ""});
    }

    asio::io_context context {1};
    Http2PeerCaller caller;
    std::unique_ptr<PeerServer> server;
    std::vector<PeerReply> silent;
    int served = 0;
};

}

TEST(PeerConnection, carriesMessagesOfAnySizeBothWays)
{
    EchoPair pair;
    for (const std::size_t size : {0U, 1U, 70'000U, 5'000'000U}) {
        const std::string body(size, 'b');
        EXPECT_EQ(pair.call("echo", body), Result<std::string>(body)) << size;
    }
}

TEST(PeerConnection, carriesTypedErrors)
{
    EchoPair pair;
    const Result<std::string> result = pair.call("fail", "x");
    ASSERT_NE(errorOf(result), nullptr);
    EXPECT_EQ(*errorOf(result), (Error {ErrorKind::Conflict, "the detail", "the remedy"}));
}

TEST(PeerConnection, refusesAnotherProtocolVersion)
{
    EchoPair pair;
    std::optional<Result<std::string>> answer;
    pair.caller.call("127.0.0.1:" + std::to_string(TestPort), {"echo", "x", PeerProtocolVersion + 1},
        Milliseconds(2000), [&answer](Result<std::string> result) { answer = std::move(result); });
    EXPECT_EQ(pair.call("echo", "y"), Result<std::string>("y"));
    ASSERT_TRUE(answer.has_value());
    ASSERT_NE(errorOf(*answer), nullptr);
    EXPECT_EQ(errorOf(*answer)->kind, ErrorKind::UnsupportedProtocol);
    EXPECT_FALSE(errorOf(*answer)->remedy.empty());
    EXPECT_EQ(pair.served, 1);
}

TEST(PeerConnection, tellsAnUnsentCallFromALostOne)
{
    EchoPair pair;
    const Result<std::string> lost = pair.call("silent", "x", Milliseconds(50));
    EXPECT_EQ(errorOf(lost)->kind, ErrorKind::Internal);
    asio::io_context context(1);
    Http2PeerCaller caller(context);
    std::optional<Result<std::string>> unsent;
    caller.call("127.0.0.1:1", {"echo", "x"}, Milliseconds(500), [&](Result<std::string> answer) { unsent = answer; });
    context.run_for(std::chrono::milliseconds(300));
    ASSERT_TRUE(unsent.has_value());
    EXPECT_EQ(errorOf(*unsent)->kind, ErrorKind::Unavailable);
}

// Guards against a port out of range that is cut off to another one.
TEST(PeerConnection, callsNoPortThatIsOutOfRange)
{
    EchoPair pair;
    constexpr std::uint64_t Overflow = 1ULL << 32U;
    for (const std::string &port : {std::to_string(Overflow + TestPort), std::to_string(65'536 + TestPort),
             std::to_string(TestPort) + "x", "-" + std::to_string(TestPort)}) {
        std::optional<Result<std::string>> answer;
        pair.caller.call("127.0.0.1:" + port, {"echo", "x"}, Milliseconds(500),
            [&answer](Result<std::string> result) { answer = std::move(result); });
        EXPECT_EQ(pair.call("echo", "y"), Result<std::string>("y"));
        ASSERT_TRUE(answer.has_value()) << port;
        EXPECT_NE(errorOf(*answer), nullptr) << port;
    }
    EXPECT_EQ(pair.served, 4);
}

// Any bytes on the socket close at most their own connection; the server goes on serving others.
TEST(PeerConnection, survivesForeignBytes)
{
    EchoPair pair;
    for (const char *bytes : {"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "PRI * HTTP/2.0"}) {
        asio::ip::tcp::socket socket(pair.context);
        socket.connect({asio::ip::make_address("127.0.0.1"), TestPort});
        asio::write(socket, asio::buffer(std::string(bytes)));
        EXPECT_EQ(pair.call("echo", "still there"), Result<std::string>("still there"));
    }
}

// Any bytes give a message or nothing.
RC_GTEST_PROP(PeerMessages, anyBytesGiveAMessageOrNothing, (const std::string &bytes))
{
    (void)decodeMessage<Gossip>(bytes);
    (void)decodeMessage<ForwardedRequest>(bytes);
    (void)decodeMessage<DocumentMessage>(bytes);
}

// Guards against a few bytes that reserve gigabytes, or nest deeply.
TEST(PeerMessages, rejectsDeepNestingAndHeadersThatClaimMoreThanTheBytesHold)
{
    const std::string deep(1'000'000, '\x91');
    EXPECT_FALSE(decodeMessage<DocumentMessage>(deep + "\xc0").has_value());
    EXPECT_FALSE(decodeMessage<Gossip>(std::string("\xdd\x7f\xff\xff\xff", 5)).has_value());
    std::string claims;
    for (int i = 0; i < 10; ++i) {
        claims += std::string("\xdd\x0f\xff\xff\xff", 5);
    }
    EXPECT_FALSE(decodeMessage<Gossip>(claims).has_value());
}

RC_GTEST_PROP(PeerMessages, survivesItsEncoding, (const std::string &body, const std::string &key, std::int64_t time))
{
    const ForwardedRequest sent {"id", "profile", key, time, 1, 7, body};
    const auto received = decodeMessage<ForwardedRequest>(encodeMessage(sent));
    RC_ASSERT(received.has_value());
    RC_ASSERT(received->body == body);
    RC_ASSERT(received->key == key);
    RC_ASSERT(received->remainingMilliseconds == time);
}

}
