#include "routing/PeerSurvey.h"

#include "configuration/ClusterKeys.h"
#include "membership/InstanceRecord.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds AskTimeout {1'500};

// Reads the document in an answer.
Result<Json> readAnswer(const Result<std::string> &answer)
{
    if (const Error *error = errorOf(answer)) {
        return *error;
    }
    const auto reply = decodeMessage<DocumentMessage>(std::get<std::string>(answer));
    if (!reply) {
        return Error {ErrorKind::Internal, "the answer can't be read", "run the same release on all instances"};
    }
    return parseJson(reply->document, "an answer");
}

}

struct PeerSurvey::Gathering
{
    std::vector<Json> answers;
    Json unasked = Json::array();
    std::size_t open = 1;
    Handler handler;

    void finishOne()
    {
        if (--open == 0) {
            handler(std::move(answers), std::move(unasked));
        }
    }
};

PeerSurvey::PeerSurvey(Context context) : m_context(std::move(context))
{
}

// The instances that the configuration names or that were heard of lately, with their addresses.
std::map<std::string, std::string> PeerSurvey::targets() const
{
    std::map<std::string, std::string> targets;
    for (const StoreEntry *entry : m_context.entries.withPrefix(ClusterKeys::Instances)) {
        const InstanceRecord record = parseInstanceRecord(entry->value);
        targets[record.instance] = record.peerAddress;
    }
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        targets[gossip->instance] = gossip->peerAddress;
    }
    targets.erase(m_context.instance);
    return targets;
}

void PeerSurvey::ask(const std::string &kind, const Json &question, Handler handler)
{
    const auto gathering = std::make_shared<Gathering>();
    gathering->handler = std::move(handler);
    const std::string body = encodeMessage(DocumentMessage {writeJson(question), m_context.timeline.logicalTime()});
    for (const auto &[instance, address] : targets()) {
        ++gathering->open;
        const auto onAnswer = [this, gathering, name = instance](Result<std::string> answer) {
            m_context.scheduler.post([gathering, name, answer = std::move(answer)] {
                Result<Json> document = readAnswer(answer);
                if (errorOf(document) != nullptr) {
                    gathering->unasked.push_back(name);
                } else {
                    gathering->answers.push_back(std::move(std::get<Json>(document)));
                }
                gathering->finishOne();
            });
        };
        m_context.caller.call(address, {kind, body}, AskTimeout, onAnswer);
    }
    gathering->finishOne();
}

}
