#include "daemon/InstanceListFeed.h"

#include "workers/WorkerCodec.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds PollPeriod {700};
constexpr Milliseconds PeerTimeout {500};
constexpr std::int64_t MaximumSharedAgeMilliseconds = 3'000;
constexpr int StatusOk = 200;

}

InstanceListFeed::InstanceListFeed(Context context) : m_context(std::move(context))
{
}

void InstanceListFeed::start()
{
    poll();
}

Json InstanceListFeed::listForPeer() const
{
    const auto age = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - m_asOf).count();
    return {{"age_ms", m_list.is_null() ? MaximumSharedAgeMilliseconds + 1 : age}, {"list", m_list}};
}

// Returns the peer address of the instance that polls the platform: of the instances in the data centre that sent
// gossip recently and are not leaving, the one with the smallest name. Empty when that is this instance.
std::string InstanceListFeed::pollerAddress() const
{
    std::string poller = m_context.instance;
    std::string address;
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        const bool sameDataCentre = gossip->dataCentre == m_context.settings.dataCentre && !gossip->leaving;
        if (sameDataCentre && gossip->instance < poller) {
            poller = gossip->instance;
            address = gossip->peerAddress;
        }
    }
    return address;
}

void InstanceListFeed::poll()
{
    const std::string address = pollerAddress();
    if (address.empty()) {
        requestFromPlatform();
    } else {
        requestFromPeer(address);
    }
}

void InstanceListFeed::scheduleNextPoll()
{
    m_context.scheduler.after(PollPeriod, [this] { poll(); });
}

void InstanceListFeed::requestFromPlatform()
{
    HttpCall call;
    call.method = "GET";
    call.url
        = m_context.settings.storeAddress + "/v1/instances?data_centre=" + percentEncode(m_context.settings.dataCentre);
    call.timeoutMilliseconds = static_cast<long>(m_context.settings.storeTimeout);
    m_context.store.send(std::move(call), [this](const HttpAnswer &answer) {
        const Result<Json> document = parseJson(answer.body, "the instance list");
        const bool succeeded = answer.delivery == Delivery::Answered && answer.status == StatusOk;
        if (succeeded && errorOf(document) == nullptr) {
            apply(std::get<Json>(document), m_context.clock.now());
        }
        scheduleNextPoll();
    });
}

void InstanceListFeed::requestFromPeer(const std::string &address)
{
    const DocumentMessage message {"{}", 0};
    m_context.caller.call(
        address, {"instances", encodeMessage(message)}, PeerTimeout, [this](Result<std::string> answer) {
            m_context.scheduler.post([this, answer = std::move(answer)] {
                const auto *bytes = std::get_if<std::string>(&answer);
                const auto reply = bytes == nullptr ? std::nullopt : decodeMessage<DocumentMessage>(*bytes);
                const Result<Json> parsed = reply ? parseJson(reply->document, "the list") : Result<Json>(Error());
                const Json document = errorOf(parsed) == nullptr ? std::get<Json>(parsed) : Json();
                const std::int64_t age = memberOr(document, "age_ms", MaximumSharedAgeMilliseconds + 1);
                if (age > MaximumSharedAgeMilliseconds) {
                    requestFromPlatform();
                    return;
                }
                apply(document["list"], m_context.clock.now() - Milliseconds(age));
                scheduleNextPoll();
            });
        });
}

void InstanceListFeed::apply(const Json &document, Instant asOf)
{
    if (asOf < m_asOf) {
        return;
    }
    m_asOf = asOf;
    m_list = document;
    std::vector<WorkerDescription> workers;
    for (const Json &item : memberOr(document, "instances", Json::array())) {
        workers.push_back(parseWorkerDescription(item));
    }
    m_context.partitions.setWorkers(std::move(workers));
}

}
