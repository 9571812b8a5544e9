#include "routing/PeerFanOut.h"

#include "configuration/ClusterKeys.h"
#include "membership/InstanceRecord.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds QueryTimeout {1'500};

// Returns the JSON document in a peer's answer.
Result<Json> readAnswer(const Result<std::string> &answer)
{
    if (const Error *error = errorOf(answer)) {
        return *error;
    }
    const auto reply = decodeMessage<DocumentMessage>(std::get<std::string>(answer));
    if (!reply) {
        return Error {ErrorKind::Internal, "the answer of another instance can't be parsed",
            "run the same release on all instances"};
    }
    return parseJson(reply->document, "the answer of another instance");
}

}

// The state of one query, which its outstanding calls share.
struct PeerFanOut::PendingQuery
{
    std::vector<Json> answers;
    Json unanswered = Json::array();
    // Starts at one so that the handler is not called before all calls have been sent.
    std::size_t outstanding = 1;
    Handler handler;

    void completeOne()
    {
        if (--outstanding == 0) {
            handler(std::move(answers), std::move(unanswered));
        }
    }
};

PeerFanOut::PeerFanOut(Context context) : m_context(std::move(context))
{
}

// Returns the addresses of the other instances: those in the configuration and those that sent gossip recently.
std::map<std::string, std::string> PeerFanOut::peerAddresses() const
{
    std::map<std::string, std::string> addresses;
    for (const StoreEntry *entry : m_context.entries.withPrefix(ClusterKeys::Instances)) {
        const InstanceRecord record = parseInstanceRecord(entry->value);
        addresses[record.instance] = record.peerAddress;
    }
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        addresses[gossip->instance] = gossip->peerAddress;
    }
    addresses.erase(m_context.instance);
    return addresses;
}

void PeerFanOut::query(const std::string &kind, const Json &request, Handler handler)
{
    const auto pending = std::make_shared<PendingQuery>();
    pending->handler = std::move(handler);
    const std::string body = encodeMessage(DocumentMessage {writeJson(request), m_context.timeline.logicalTime()});
    for (const auto &[instance, address] : peerAddresses()) {
        ++pending->outstanding;
        const auto onAnswer = [this, pending, name = instance](Result<std::string> answer) {
            m_context.scheduler.post([pending, name, answer = std::move(answer)] {
                Result<Json> document = readAnswer(answer);
                if (errorOf(document) != nullptr) {
                    pending->unanswered.push_back(name);
                } else {
                    pending->answers.push_back(std::move(std::get<Json>(document)));
                }
                pending->completeOne();
            });
        };
        m_context.caller.call(address, {kind, body}, QueryTimeout, onAnswer);
    }
    pending->completeOne();
}

}
