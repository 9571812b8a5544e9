#include "daemon/StoreClient.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds ReachableFor {2'500};
constexpr int FirstServerError = 500;

bool reached(const HttpAnswer &answer)
{
    return answer.delivery == Delivery::Answered && answer.status < FirstServerError;
}

}

StoreClient::StoreClient(Context context) : m_context(std::move(context))
{
}

bool StoreClient::isReachable() const
{
    return m_context.clock.now() - m_reachedAt <= ReachableFor;
}

void StoreClient::sendDirect(HttpCall call, Handler handler)
{
    const std::string path = call.url.substr(m_context.baseAddress.size());
    const std::string resource = path.substr(0, path.find_first_of("/?", 4));
    m_context.metrics.count("wagtail_store_calls_total", "method=\"" + call.method + "\",path=\"" + resource + "\"");
    m_context.direct.send(std::move(call), [this, handler = std::move(handler)](HttpAnswer answer) {
        if (reached(answer)) {
            m_reachedAt = m_context.clock.now();
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
        // A watch is not worth a neighbour's wait: the neighbours pass the configuration on by themselves.
        const bool isWatch = copy.url.find("/v1/watch") != std::string::npos;
        if (reached(answer) || isWatch || helper() == nullptr) {
            handler(std::move(answer));
            return;
        }
        relay(copy, std::move(answer), handler);
    });
}

const Gossip *StoreClient::helper() const
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
    m_context.caller.call(helper()->peerAddress, {"store-relay", encodeMessage(message)},
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
        if (!reached(answer)) {
            reply(Error {ErrorKind::StoreUnavailable, "the store does not answer here either", "retry later"});
            return;
        }
        reply(encodeMessage(RelayedAnswer {answer.status, answer.body}));
    });
}

}
