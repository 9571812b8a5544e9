#include "daemon/InstanceListFeed.h"

#include "workers/WorkerCodec.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds PollPeriod {700};
constexpr Milliseconds NeighbourTimeout {500};
constexpr std::int64_t OldestShared = 3'000;
constexpr int StatusOk = 200;

}

InstanceListFeed::InstanceListFeed(Context context) : m_context(std::move(context))
{
}

void InstanceListFeed::start()
{
    poll();
}

Json InstanceListFeed::share() const
{
    const auto age = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - m_takenAt).count();
    return {{"age_ms", m_list.is_null() ? OldestShared + 1 : age}, {"list", m_list}};
}

// The neighbour with the smallest name that is heard of asks the platform; empty when that is this instance.
std::string InstanceListFeed::leaderAddress() const
{
    std::string leader = m_context.instance;
    std::string address;
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        const bool neighbour = gossip->dataCentre == m_context.settings.dataCentre && !gossip->leaving;
        if (neighbour && gossip->instance < leader) {
            leader = gossip->instance;
            address = gossip->peerAddress;
        }
    }
    return address;
}

void InstanceListFeed::poll()
{
    const std::string leader = leaderAddress();
    if (leader.empty()) {
        askPlatform();
    } else {
        askNeighbour(leader);
    }
}

void InstanceListFeed::pollAgain()
{
    m_context.scheduler.after(PollPeriod, [this] { poll(); });
}

void InstanceListFeed::askPlatform()
{
    HttpCall call;
    call.method = "GET";
    call.url
        = m_context.settings.storeAddress + "/v1/instances?data_centre=" + percentEncode(m_context.settings.dataCentre);
    call.timeoutMilliseconds = static_cast<long>(m_context.settings.storeTimeout);
    m_context.store.send(std::move(call), [this](const HttpAnswer &answer) {
        const Result<Json> document = parseJson(answer.body, "the instance list");
        const bool good = answer.delivery == Delivery::Answered && answer.status == StatusOk;
        if (good && errorOf(document) == nullptr) {
            apply(std::get<Json>(document), m_context.clock.now());
        }
        pollAgain();
    });
}

void InstanceListFeed::askNeighbour(const std::string &address)
{
    const DocumentMessage message {"{}", 0};
    m_context.caller.call(
        address, {"instances", encodeMessage(message)}, NeighbourTimeout, [this](Result<std::string> answer) {
            m_context.scheduler.post([this, answer = std::move(answer)] {
                const auto *bytes = std::get_if<std::string>(&answer);
                const auto reply = bytes == nullptr ? std::nullopt : decodeMessage<DocumentMessage>(*bytes);
                const Result<Json> parsed = reply ? parseJson(reply->document, "the list") : Result<Json>(Error());
                const Json document = errorOf(parsed) == nullptr ? std::get<Json>(parsed) : Json();
                const std::int64_t age = memberOr(document, "age_ms", OldestShared + 1);
                if (age > OldestShared) {
                    askPlatform();
                    return;
                }
                apply(document["list"], m_context.clock.now() - Milliseconds(age));
                pollAgain();
            });
        });
}

void InstanceListFeed::apply(const Json &document, Instant takenAt)
{
    if (takenAt < m_takenAt) {
        return;
    }
    m_takenAt = takenAt;
    m_list = document;
    std::vector<WorkerDescription> workers;
    for (const Json &item : memberOr(document, "instances", Json::array())) {
        workers.push_back(parseWorkerDescription(item));
    }
    m_context.partitions.setWorkers(std::move(workers));
}

}
