#include "daemon/StoreClient.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds ReachabilityWindow {2'500};
constexpr int FirstServerError = 500;

bool storeAnswered(const HttpAnswer &answer)
{
    return answer.delivery == Delivery::Answered && answer.status < FirstServerError;
}

}

StoreClient::StoreClient(Context context) : m_context(std::move(context))
{
}

bool StoreClient::isReachable() const
{
    return m_context.clock.now() - m_lastAnswerAt <= ReachabilityWindow;
}

void StoreClient::sendDirect(HttpCall call, Handler handler)
{
    const std::string path = call.url.substr(m_context.baseAddress.size());
    const std::string resource = path.substr(0, path.find_first_of("/?", 4));
    m_context.metrics.count("wagtail_store_calls_total", "method=\"" + call.method + "\",path=\"" + resource + "\"");
    m_context.direct.send(std::move(call), [this, handler = std::move(handler)](HttpAnswer answer) {
        if (storeAnswered(answer)) {
            m_lastAnswerAt = m_context.clock.now();
        } else {
            m_context.metrics.count("wagtail_store_failures_total");
        }
        handler(std::move(answer));
    });
}

void StoreClient::send(HttpCall call, Handler handler)
{
    const HttpCall copy = call;
    sendDirect(std::move(call), [this, copy, handler = std::move(handler)](HttpAnswer answer) {
        // Watches are not relayed, because they would block the other instance and configuration changes arrive with
        // gossip anyway.
        const bool isWatch = copy.url.find("/v1/watch") != std::string::npos;
        if (storeAnswered(answer) || isWatch || relayPeer() == nullptr) {
            handler(std::move(answer));
            return;
        }
        relay(copy, std::move(answer), handler);
    });
}

const Gossip *StoreClient::relayPeer() const
{
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        if (gossip->dataCentre == m_context.dataCentre && gossip->storeReachable) {
            return gossip;
        }
    }
    return nullptr;
}

void StoreClient::relay(const HttpCall &call, HttpAnswer failure, Handler handler)
{
    const RelayedCall message {
        call.method, call.url.substr(m_context.baseAddress.size()), call.body, call.timeoutMilliseconds};
    m_context.metrics.count("wagtail_store_relays_total");
    m_context.caller.call(relayPeer()->peerAddress, {"store-relay", encodeMessage(message)},
        Milliseconds(call.timeoutMilliseconds),
        [this, failure = std::move(failure), handler = std::move(handler)](Result<std::string> answer) {
            m_context.scheduler.post([failure, handler, answer = std::move(answer)] {
                const auto *bytes = std::get_if<std::string>(&answer);
                auto relayed = bytes == nullptr ? std::nullopt : decodeMessage<RelayedAnswer>(*bytes);
                if (!relayed) {
                    handler(failure);
                    return;
                }
                HttpAnswer result;
                result.delivery = Delivery::Answered;
                result.status = relayed->status;
                result.body = std::move(relayed->body);
                handler(std::move(result));
            });
        });
}

void StoreClient::sendRelayed(const RelayedCall &relayed, std::function<void(Result<std::string>)> reply)
{
    HttpCall call;
    call.method = relayed.method;
    call.url = m_context.baseAddress + relayed.target;
    call.body = relayed.body;
    call.timeoutMilliseconds = static_cast<long>(relayed.timeoutMilliseconds);
    sendDirect(std::move(call), [reply = std::move(reply)](const HttpAnswer &answer) {
        if (!storeAnswered(answer)) {
            reply(Error {ErrorKind::StoreUnavailable, "the store does not answer the relaying instance either",
                "send the call again later"});
            return;
        }
        reply(encodeMessage(RelayedAnswer {answer.status, answer.body}));
    });
}

}
