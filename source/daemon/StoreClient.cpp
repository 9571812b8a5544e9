#include "daemon/StoreClient.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds ReachabilityWindow {2'500};
constexpr int FirstServerError = 500;
constexpr int StatusUnavailable = 503;

bool storeAnswered(const HttpAnswer &answer)
{
    return answer.delivery == Delivery::Answered && answer.status < FirstServerError;
}

// Returns whether the call, which failed, may be made in another way.
bool mayGoOn(const HttpCall &call, const HttpAnswer &failure)
{
    const bool isRefused = failure.delivery == Delivery::Answered && failure.status == StatusUnavailable;
    return call.mayBeSentAgain() || failure.delivery == Delivery::NotSent || isRefused;
}

// Returns the answer to a call that another instance did not make, or whose answer it did not pass on.
HttpAnswer toAnswer(const Error &error)
{
    const bool isNotSent = error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Overloaded;
    return {isNotSent ? Delivery::NotSent : Delivery::Lost, 0, {}, {}, error.detail};
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
        m_hasFailed = !storeAnswered(answer);
        if (!m_hasFailed) {
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
    if (m_hasFailed && !call.mayBeSentAgain() && relayPeer() != nullptr) {
        // Otherwise the sender of a call that may not be sent again would wait for two timeouts before it is relayed.
        relay(copy, [this, copy, handler = std::move(handler)](HttpAnswer answer) {
            if (storeAnswered(answer) || !mayGoOn(copy, answer)) {
                handler(std::move(answer));
            } else {
                sendDirect(copy, handler);
            }
        });
        return;
    }
    sendDirect(std::move(call), [this, copy, handler = std::move(handler)](HttpAnswer answer) {
        // Watches are not relayed, because they would block the other instance and configuration changes arrive with
        // gossip anyway.
        const bool isWatch = copy.url.find("/v1/watch") != std::string::npos;
        if (storeAnswered(answer) || isWatch || !mayGoOn(copy, answer) || relayPeer() == nullptr) {
            handler(std::move(answer));
            return;
        }
        relay(copy, [answer = std::move(answer), handler](const HttpAnswer &relayed) {
            // The other instance may have made the call even if it is not heard.
            handler(relayed.delivery == Delivery::NotSent ? answer : relayed);
        });
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

void StoreClient::relay(const HttpCall &call, Handler handler)
{
    const RelayedCall message {
        call.method, call.url.substr(m_context.baseAddress.size()), call.body, call.timeoutMilliseconds};
    m_context.metrics.count("wagtail_store_relays_total");
    m_context.caller.call(relayPeer()->peerAddress, {"store-relay", encodeMessage(message)},
        Milliseconds(call.timeoutMilliseconds), [this, handler = std::move(handler)](Result<std::string> answer) {
            m_context.scheduler.post([handler, answer = std::move(answer)] {
                if (const Error *error = errorOf(answer)) {
                    handler(toAnswer(*error));
                    return;
                }
                auto relayed = decodeMessage<RelayedAnswer>(std::get<std::string>(answer));
                if (!relayed) {
                    handler({Delivery::Lost, 0, {}, {}, "the answer of the other instance can't be parsed"});
                    return;
                }
                handler({Delivery::Answered, relayed->status, {}, std::move(relayed->body), {}});
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
