#pragma once

#include "base/JsonReader.h"
#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "tenure/StoreHealthReport.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// Sends calls to the store directly, or through another instance while the store is unreachable or rejects this
// instance's calls. Also serves the relayed calls of other instances.
//
// A call that may not be sent again is not passed on after it got no answer. It is lost then, because the answer to a
// copy may be a refusal that is due to the call itself.
class StoreRelay final : public HttpClient
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        HttpClient &client;
        // Returns a cheap read call that shows whether the store answers.
        std::function<HttpCall()> probe;
        // Returns the addresses of the other instances, as ip:port, nearest first.
        std::function<std::vector<std::string>()> peers;
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
        // Returns what this instance knows of the owners of partitions.
        std::function<OwnerRevisions()> ownerRevisions;
        // Called with what another instance knows of them.
        std::function<void(const OwnerRevisions &)> onOwnerRevisions;
    };

    explicit StoreRelay(Environment environment);
    ~StoreRelay() override;

    // Sends a call to the store. The handler gets the store's answer, relayed or not.
    void send(HttpCall call, Handler handler) override;

    // Handles another instance's relayed call to the store, or its query whether this instance reaches the store
    // directly. Returns false if the path is neither.
    bool handle(const HttpRequest &request, const HttpServer::Responder &respond);

    // Asks the other instances whether they reach the store. Must be called while no call succeeds.
    void pollPeers();

    // Returns whether a recent poll has confirmed an outage: at least half of the other instances answered that they do
    // not reach the store, and none has lately reached it or heard of one that did. False once the store answers this
    // instance.
    [[nodiscard]] bool isOutageConfirmed() const;

    // Returns whether the store has recently answered a direct call of this instance.
    [[nodiscard]] bool isDirectlyReachable() const;

private:
    // A call that another instance relays and whose answer may begin late. The handler is empty once it was called.
    struct RelayedCall
    {
        std::string peer;
        std::shared_ptr<Handler> handler;
        Milliseconds checkTimeout;
    };

    void sendDirectly(HttpCall call, Handler handler);
    void sendThroughPeer(HttpCall call, Handler handler);
    // Gives the relayed call up if the instance that relays it does not answer a query. Asks after the delay, and then
    // again and again until the call is answered.
    void checkRelay(const RelayedCall &relayed, Milliseconds delay);
    // Applies the outcome of a direct call, whose answer came at the given time at the latest.
    void recordDirectAttempt(bool answered, Instant answeredBy);
    void noteStoreAnswer(Instant at);
    [[nodiscard]] StoreHealthReport report() const;
    // Applies what another instance has answered to the query sent at the given time.
    void applyReport(const std::string &text, Instant askedAt);
    void scheduleProbe();
    [[nodiscard]] std::string relayPeer() const;

    Environment m_environment;
    int m_consecutiveFailures = 0;
    bool m_relaying = false;
    std::size_t m_nextPeer = 0;
    std::optional<Instant> m_lastDirectAnswer;
    // The last time at which the store is known to have answered any instance.
    std::optional<Instant> m_lastKnownAnswer;
    // The other instances that reached the store according to the last poll.
    std::vector<std::string> m_peersReachingStore;
    std::optional<Instant> m_outageConfirmedAt;
    std::optional<Instant> m_lastPoll;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
