#include "daemon/StoreClient.h"

#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>
#include <optional>

namespace Wagtail
{

namespace
{

HttpAnswer answered(int status)
{
    return {Delivery::Answered, status, {}, {}, {}};
}

HttpAnswer lost()
{
    return {Delivery::Lost, 0, {}, {}, {}};
}

// Answers calls to the store as set by a test.
class ScriptedClient final : public HttpClient
{
public:
    void send(HttpCall, Handler handler) override
    {
        ++calls;
        handler(answer);
    }

    HttpAnswer answer;
    int calls = 0;
};

// Answers calls to other instances as set by a test.
class ScriptedCaller final : public PeerCaller
{
public:
    void call(const std::string &, PeerMessage, Milliseconds, Handler handler) override
    {
        ++calls;
        handler(answer);
    }

    Result<std::string> answer = Error();
    int calls = 0;
};

// An instance that hears of another one that reaches the store.
class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
    {
        Gossip gossip;
        gossip.instance = "other";
        gossip.dataCentre = "depot";
        gossip.peerAddress = "10.0.0.2:1";
        gossip.storeReachable = true;
        m_peers.recordGossip(gossip);
    }

    HttpAnswer send(HttpCall call)
    {
        std::optional<HttpAnswer> result;
        m_storeClient.send(std::move(call), [&result](HttpAnswer answer) { result = std::move(answer); });
        m_scheduler.runDue();
        return result.value_or(HttpAnswer());
    }

    HttpAnswer read()
    {
        return send({"GET", "http://store/v1/keys/key", {}, {}, 100});
    }

    HttpAnswer write()
    {
        return send({"PUT", "http://store/v1/keys/key", {}, {}, 100});
    }

    static std::string relayedAnswer(int status)
    {
        return encodeMessage(RelayedAnswer {status, {}});
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler {m_clock};
    ScriptedClient m_client;
    ScriptedCaller m_caller;
    PeerDirectory m_peers {m_clock};
    Metrics m_metrics;
    StoreClient m_storeClient {{m_client, m_caller, m_peers, m_clock, m_scheduler, m_metrics, "http://store", "depot"}};
};

}

// An operator was told of a conflict with a change that was the copy's own first sending.
TEST_F(StoreClientTest, sendsNoUnansweredWriteAgainThroughAPeer)
{
    m_caller.answer = relayedAnswer(409);
    for (const HttpAnswer &unanswered : {lost(), answered(504)}) {
        m_client.answer = answered(200);
        read();
        m_client.answer = unanswered;
        const HttpAnswer answer = write();
        EXPECT_EQ(answer.delivery, unanswered.delivery);
        EXPECT_EQ(answer.status, unanswered.status);
        EXPECT_EQ(m_caller.calls, 0);
    }
}

TEST_F(StoreClientTest, relaysAWriteThatTheStoreCertainlyDidNotCarryOut)
{
    m_caller.answer = relayedAnswer(200);
    for (const HttpAnswer &refusal : {HttpAnswer(), answered(503)}) {
        m_client.answer = refusal;
        EXPECT_EQ(write().status, 200);
    }
    EXPECT_EQ(m_caller.calls, 2);
}

TEST_F(StoreClientTest, relaysAnUnansweredRead)
{
    m_client.answer = lost();
    m_caller.answer = relayedAnswer(200);
    EXPECT_EQ(read().status, 200);
}

// Its sender would wait for two timeouts otherwise.
TEST_F(StoreClientTest, relaysAWriteAfterOneThatWasNotAnswered)
{
    m_client.answer = lost();
    m_caller.answer = relayedAnswer(200);
    write();
    EXPECT_EQ(write().status, 200);
    EXPECT_EQ(m_client.calls, 1);
    // An answer to any call shows that the store is back.
    m_client.answer = answered(200);
    read();
    write();
    EXPECT_EQ(m_client.calls, 3);
}

TEST_F(StoreClientTest, sendsAWriteOnceIfItsRelayIsNotHeard)
{
    m_client.answer = lost();
    write();
    m_client.answer = answered(200);
    m_caller.answer = Error {ErrorKind::Internal, "the answer was lost", "retry"};
    EXPECT_EQ(write().delivery, Delivery::Lost);
    EXPECT_EQ(m_client.calls, 1);
    m_caller.answer = Error {ErrorKind::Unavailable, "not connected", "retry"};
    EXPECT_EQ(write().status, 200);
}

// The sender was told that its write was certainly not carried out, although the other instance may have passed it on.
TEST_F(StoreClientTest, reportsAWriteAsLostIfItsRelayAfterARefusalIsNotHeard)
{
    m_caller.answer = Error {ErrorKind::Internal, "the answer was lost", "retry"};
    for (const HttpAnswer &refusal : {HttpAnswer(), answered(503)}) {
        m_client.answer = answered(200);
        read();
        m_client.answer = refusal;
        EXPECT_EQ(write().delivery, Delivery::Lost) << refusal.status;
    }
    EXPECT_EQ(m_caller.calls, 2);
}

}
