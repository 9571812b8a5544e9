#include "TestCluster.h"

#include "tenure/StoreRelay.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Answers calls as set by a test, with separate answers for the store and for peers.
class ScriptedClient final : public HttpClient
{
public:
    void send(HttpCall call, Handler handler) override
    {
        const bool direct = call.url.starts_with("http://store/");
        const bool health = call.url.ends_with("/v1/store-health");
        calls.push_back(std::move(call));
        if (health && toHealthQuery) {
            handler(*toHealthQuery);
            return;
        }
        if (!direct && keepsPeersWaiting) {
            waiting.push_back(std::move(handler));
            return;
        }
        if (direct && keepsStoreWaiting) {
            waitingForStore.push_back(std::move(handler));
            return;
        }
        handler(direct ? toStore : toPeer);
    }

    // Delivers the answers of peers that were kept.
    void answerWaiting()
    {
        for (const Handler &handler : std::exchange(waiting, {})) {
            handler(toPeer);
        }
    }

    // Delivers the answers of the store that were kept.
    void answerWaitingForStore()
    {
        for (const Handler &handler : std::exchange(waitingForStore, {})) {
            handler(toStore);
        }
    }

    bool keepsPeersWaiting = false;
    bool keepsStoreWaiting = false;
    std::vector<Handler> waiting;
    std::vector<Handler> waitingForStore;
    std::vector<HttpCall> calls;
    HttpAnswer toStore;
    HttpAnswer toPeer;
    // Used in place of the answer of peers if set.
    std::optional<HttpAnswer> toHealthQuery;
};

HttpAnswer answered(int status)
{
    HttpAnswer answer;
    answer.delivery = Delivery::Answered;
    answer.status = status;
    return answer;
}

HttpAnswer lost()
{
    HttpAnswer answer;
    answer.delivery = Delivery::Lost;
    return answer;
}

class StoreRelayTest : public testing::Test
{
protected:
    StoreRelayTest()
        : m_scheduler(m_clock)
        , m_relay({m_clock, m_scheduler, m_client,
              [] {
                  return HttpCall {"GET", "http://store/probe", {}, {}, 100};
              },
              [] { return std::vector<std::string> {"peer:1"}; },
              [](std::string_view, const std::string &, const Json &) {},
              [] {
                  return OwnerRevisions {{"depot", 7}};
              },
              [this](const OwnerRevisions &revisions) {
                  m_peerRevisions = revisions;
              }})
    {
    }

    HttpAnswer send()
    {
        return send({"POST", "http://store/write", {}, {}, 100});
    }

    HttpAnswer send(HttpCall call)
    {
        HttpAnswer result;
        m_relay.send(std::move(call), [&result](HttpAnswer answer) { result = std::move(answer); });
        return result;
    }

    // Sends a read that the store rejects, so that a peer relays it.
    void sendRelayedRead()
    {
        m_client.toStore = answered(503);
        m_client.toPeer = answered(200);
        m_client.keepsPeersWaiting = true;
        HttpCall call {"GET", "http://store/read", {}, {}, 400};
        call.longAnswer = LongAnswerLimits {400, 5'000};
        m_relay.send(std::move(call), [this](HttpAnswer answer) { m_relayedAnswer = std::move(answer); });
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler;
    ScriptedClient m_client;
    StoreRelay m_relay;
    std::optional<HttpAnswer> m_relayedAnswer;
    OwnerRevisions m_peerRevisions;
};

}

TEST_F(StoreRelayTest, relaysACallThroughAPeerWhenTheStoreRejectsIt)
{
    m_client.toStore = answered(503);
    m_client.toPeer = answered(200);
    EXPECT_EQ(send().status, 200);
    EXPECT_EQ(m_client.calls.back().url, "http://peer:1/v1/store-relay");
}

// An unanswered write may still take effect, even if the relayed attempt was rejected.
TEST_F(StoreRelayTest, reportsAnUnansweredCallAsLostDespiteARejectedRelay)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(503);
    EXPECT_EQ(send().delivery, Delivery::Lost);
}

// A copy of a write that had been carried out was refused because of it, and the refusal was taken for the answer.
TEST_F(StoreRelayTest, sendsNoUnansweredWriteAgainThroughAPeer)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(412);
    EXPECT_EQ(send().delivery, Delivery::Lost);
    EXPECT_EQ(m_client.calls.size(), 1U);
}

// Its sender would wait for two timeouts otherwise.
TEST_F(StoreRelayTest, relaysAWriteAfterOneThatWasNotAnswered)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(200);
    send();
    EXPECT_EQ(send().status, 200);
    EXPECT_EQ(m_client.calls.size(), 2U);
}

TEST_F(StoreRelayTest, sendsAWriteDirectlyThatItsPeerCertainlyDidNotRelay)
{
    m_client.toStore = lost();
    send();
    m_client.toStore = answered(200);
    m_client.toPeer = answered(503);
    EXPECT_EQ(send().status, 200);
    m_client.toPeer = answered(500);
    EXPECT_EQ(send().status, 200);
}

// The instance that relays the write may have passed it on before it went silent.
TEST_F(StoreRelayTest, sendsNoWriteDirectlyWhoseRelayWasNotHeard)
{
    m_client.toStore = lost();
    send();
    m_client.toStore = answered(412);
    m_client.toPeer = lost();
    EXPECT_EQ(send().delivery, Delivery::Lost);
    EXPECT_EQ(m_client.calls.size(), 2U);
}

TEST_F(StoreRelayTest, relaysAWriteThatCertainlyDidNotReachTheStore)
{
    m_client.toStore = HttpAnswer();
    m_client.toPeer = answered(200);
    EXPECT_EQ(send().status, 200);
}

TEST_F(StoreRelayTest, sendsUnansweredIdempotentCallsAgainThroughAPeer)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(200);
    EXPECT_EQ(send({"GET", "http://store/read", {}, {}, 100}).status, 200);
    m_client.toStore = answered(200);
    send();
    m_client.toStore = lost();
    HttpCall renewal {"POST", "http://store/renewal", {}, {}, 100};
    renewal.isIdempotent = true;
    EXPECT_EQ(send(renewal).status, 200);
    // The client sends the relayed call again as well if its connection ends.
    EXPECT_TRUE(m_client.calls.back().isIdempotent);
}

// An unanswered renewal may still take effect, even if the relayed attempt was rejected.
TEST_F(StoreRelayTest, reportsAnUnansweredIdempotentCallAsLostDespiteARejectedRelay)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(503);
    HttpCall renewal {"POST", "http://store/renewal", {}, {}, 100};
    renewal.isIdempotent = true;
    EXPECT_EQ(send(renewal).delivery, Delivery::Lost);
}

TEST_F(StoreRelayTest, confirmsAnOutageOnlyWhenPeersDoNotReachTheStore)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(200);
    m_relay.pollPeers();
    EXPECT_FALSE(m_relay.isOutageConfirmed());
    m_clock.advance(Second);
    m_client.toPeer = answered(502);
    m_relay.pollPeers();
    EXPECT_TRUE(m_relay.isOutageConfirmed());
    m_clock.advance(Second * 5);
    EXPECT_FALSE(m_relay.isOutageConfirmed());
}

// An owner that was short of processor time read answers from before a take-over and went on beside its successor.
TEST_F(StoreRelayTest, confirmsNoOutageByAnswersThatAreReadLate)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(502);
    m_client.keepsPeersWaiting = true;
    m_relay.pollPeers();
    m_clock.advance(Second * 3);
    m_client.answerWaiting();
    EXPECT_FALSE(m_relay.isOutageConfirmed());
}

// One poll without answers, in an outage that goes on, does not end it.
TEST_F(StoreRelayTest, keepsAConfirmedOutageForAWhileWithoutAnswers)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(502);
    m_relay.pollPeers();
    m_clock.advance(Second);
    m_client.toPeer = lost();
    m_relay.pollPeers();
    EXPECT_TRUE(m_relay.isOutageConfirmed());
    m_clock.advance(Second * 2);
    EXPECT_FALSE(m_relay.isOutageConfirmed());
}

// An owner cut off from its successor went on because the instances that it did reach were rejected by the store.
TEST_F(StoreRelayTest, confirmsNoOutageWhileAPeerHasHeardOfOneThatReachesTheStore)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(502);
    m_client.toPeer.body = serialize(StoreHealthReport {Milliseconds(600), {}});
    m_relay.pollPeers();
    EXPECT_FALSE(m_relay.isOutageConfirmed());
    m_clock.advance(Second);
    m_client.toPeer.body = serialize(StoreHealthReport {Milliseconds(1'600), {}});
    m_relay.pollPeers();
    EXPECT_FALSE(m_relay.isOutageConfirmed());
    m_clock.advance(Second);
    m_client.toPeer.body = serialize(StoreHealthReport {Milliseconds(2'600), {}});
    m_relay.pollPeers();
    EXPECT_TRUE(m_relay.isOutageConfirmed());
}

// An owner that was replaced just before an outage took the outage for a reason to go on.
TEST_F(StoreRelayTest, passesOnWhatPeersKnowOfOwnersWhenItAsksForAnOutage)
{
    m_client.toStore = lost();
    m_client.toPeer = answered(502);
    m_client.toPeer.body = serialize(StoreHealthReport {std::nullopt, {{"depot", 9}}});
    m_relay.pollPeers();
    EXPECT_EQ(m_peerRevisions, (OwnerRevisions {{"depot", 9}}));
}

TEST_F(StoreRelayTest, tellsWhenTheStoreLastAnsweredAndWhatItKnowsOfOwners)
{
    m_client.toStore = answered(200);
    send();
    m_clock.advance(Second * 2);
    std::optional<HttpResponse> response;
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/store-health";
    EXPECT_TRUE(m_relay.handle(request, [&response](const HttpResponse &given) { response = given; }));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 502);
    const Result<StoreHealthReport> report = parseStoreHealthReport(response->body);
    ASSERT_EQ(errorOf(report), nullptr);
    EXPECT_EQ(std::get<StoreHealthReport>(report), (StoreHealthReport {Second * 2, {{"depot", 7}}}));
}

// A large answer that another instance relayed was given up before that instance had received it.
TEST_F(StoreRelayTest, waitsForALongAnswerWhileThePeerThatRelaysItAnswers)
{
    m_client.toHealthQuery = answered(200);
    sendRelayedRead();
    EXPECT_GT(m_client.calls.back().timeoutMilliseconds, 2'000);
    m_scheduler.advance(Second * 2, Milliseconds(10));
    EXPECT_FALSE(m_relayedAnswer);
    m_client.answerWaiting();
    ASSERT_TRUE(m_relayedAnswer);
    EXPECT_EQ(m_relayedAnswer->status, 200);
}

TEST_F(StoreRelayTest, givesALongAnswerUpWhenThePeerThatRelaysItDoesNotAnswer)
{
    m_client.toHealthQuery = lost();
    sendRelayedRead();
    m_scheduler.advance(Milliseconds(600), Milliseconds(10));
    ASSERT_TRUE(m_relayedAnswer);
    EXPECT_EQ(m_relayedAnswer->delivery, Delivery::Lost);
    m_client.answerWaiting();
    EXPECT_EQ(m_relayedAnswer->delivery, Delivery::Lost);
}

// An instance that is short of processor time reads an answer of the store long after the store has gone away. Others
// must not wait for it to come back because of that.
TEST_F(StoreRelayTest, takesNoAnswerThatItReadsLateForARecentOne)
{
    m_client.toStore = answered(200);
    m_client.keepsStoreWaiting = true;
    m_relay.send({"POST", "http://store/write", {}, {}, 100}, [](const HttpAnswer &) {});
    m_clock.advance(Second * 2);
    m_client.answerWaitingForStore();
    EXPECT_FALSE(m_relay.isDirectlyReachable());
}

TEST_F(StoreRelayTest, relaysALongAnswerWithItsLimits)
{
    sendRelayedRead();
    const HttpCall sent = m_client.calls.back();
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/store-relay";
    request.headers = sent.headers;
    m_client.toStore = answered(200);
    std::optional<HttpResponse> response;
    EXPECT_TRUE(m_relay.handle(request, [&response](const HttpResponse &given) { response = given; }));
    ASSERT_TRUE(response);
    const HttpCall &direct = m_client.calls.back();
    EXPECT_EQ(direct.url, "http://store/read");
    EXPECT_EQ(direct.timeoutMilliseconds, 400);
    ASSERT_TRUE(direct.longAnswer);
    EXPECT_EQ(direct.longAnswer->stallMilliseconds, 400);
    // The peer that asked waits no longer than this for the answer to begin.
    EXPECT_LT(direct.longAnswer->totalMilliseconds, sent.timeoutMilliseconds);
}

}
