#include "daemon/PeerService.h"

namespace Wagtail
{

namespace
{

Error malformedMessage(const std::string &kind)
{
    return {ErrorKind::InvalidInput, "the message of kind '" + kind + "' can't be parsed",
        "run the same release on all instances"};
}

}

PeerService::PeerService(Context context) : m_context(context)
{
}

void PeerService::handle(const PeerMessage &message, const PeerReply &reply)
{
    m_context.metrics.count("wagtail_peer_messages_total", "kind=\"" + message.kind + "\"");
    m_context.metrics.count("wagtail_peer_bytes_total", "kind=\"" + message.kind + "\"", message.body.size());
    if (message.kind == "gossip") {
        const auto gossip = decodeMessage<Gossip>(message.body);
        reply(gossip ? Result<std::string>(m_context.gossip.exchange(*gossip)) : malformedMessage(message.kind));
    } else if (message.kind == "configuration") {
        reply(m_context.gossip.configurationSnapshot());
    } else if (message.kind == "request" || message.kind == "request-home") {
        handleRequest(message, reply);
    } else if (message.kind == "store-relay") {
        const auto call = decodeMessage<RelayedCall>(message.body);
        if (!call) {
            reply(malformedMessage(message.kind));
            return;
        }
        m_context.store.sendRelayed(*call, reply);
    } else {
        handleDocument(message, reply);
    }
}

void PeerService::handleRequest(const PeerMessage &message, const PeerReply &reply)
{
    auto forwarded = decodeMessage<ForwardedRequest>(message.body);
    if (!forwarded) {
        reply(malformedMessage(message.kind));
        return;
    }
    m_context.timeline.observe(forwarded->logicalTime);
    RoutedRequest request {forwarded->identity, forwarded->profile, forwarded->key,
        m_context.clock.now() + Milliseconds(forwarded->remainingMilliseconds), forwarded->hops,
        std::move(forwarded->body)};
    const auto answer = [this, reply](RequestResult result) {
        const ForwardedResult encoded {std::string(nameOf(result.outcome)), result.status, result.contentType,
            std::move(result.body), std::string(nameOf(result.error.kind)), result.error.detail, result.error.remedy,
            m_context.timeline.logicalTime()};
        reply(encodeMessage(encoded));
    };
    if (message.kind == "request-home") {
        m_context.requests.routeAsKeyOwner(std::move(request), answer);
    } else {
        m_context.requests.route(std::move(request), answer);
    }
}

void PeerService::handleDocument(const PeerMessage &message, const PeerReply &reply)
{
    const auto received = decodeMessage<DocumentMessage>(message.body);
    const Result<Json> parsed
        = received ? parseJson(received->document, "the message") : Result<Json>(malformedMessage(message.kind));
    if (const Error *error = errorOf(parsed)) {
        reply(*error);
        return;
    }
    m_context.timeline.observe(received->logicalTime);
    const Json &document = std::get<Json>(parsed);
    const auto answer = [this, reply](const Result<Json> &result) {
        if (const Error *error = errorOf(result)) {
            reply(*error);
            return;
        }
        const std::string text = writeJson(std::get<Json>(result));
        reply(encodeMessage(DocumentMessage {text, m_context.timeline.logicalTime()}));
    };
    if (message.kind == "task") {
        m_context.tasks.execute(document, answer);
    } else if (message.kind == "status") {
        answer(m_context.httpApi.localStatus());
    } else if (message.kind == "instances") {
        answer(m_context.instances.listForPeer());
    } else if (message.kind == "timeline") {
        answer(m_context.httpApi.localEvents(document));
    } else {
        reply(Error {ErrorKind::InvalidInput, "messages of kind '" + message.kind + "' are not supported",
            "run the same release on all instances"});
    }
}

}
