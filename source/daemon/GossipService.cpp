#include "daemon/GossipService.h"

#include "configuration/ClusterKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds NearPeriod {250};
constexpr Milliseconds FarPeriod {1'000};
constexpr Milliseconds CallTimeout {1'000};

}

GossipService::GossipService(Context context) : m_context(std::move(context))
{
}

void GossipService::setLeaving()
{
    m_leaving = true;
}

Gossip GossipService::own()
{
    Gossip gossip;
    gossip.instance = m_context.instance;
    gossip.dataCentre = m_context.settings.dataCentre;
    gossip.region = m_context.settings.region;
    gossip.peerAddress = m_context.peerAddress;
    gossip.logicalTime = m_context.timeline.logicalTime();
    gossip.revision = m_context.entries.revision();
    gossip.storeReachable = m_context.store.isReachable();
    gossip.leaving = m_leaving;
    gossip.offers = m_context.partitions.offers();
    return gossip;
}

void GossipService::tick()
{
    const Instant now = m_context.clock.now();
    std::map<std::string, Milliseconds> targets;
    for (const std::string &seed : m_context.settings.peerSeeds) {
        targets[seed] = FarPeriod;
    }
    for (const StoreEntry *entry : m_context.entries.withPrefix(ClusterKeys::Instances)) {
        const InstanceRecord record = parseInstanceRecord(entry->value);
        targets[record.peerAddress] = record.dataCentre == m_context.settings.dataCentre ? NearPeriod : FarPeriod;
    }
    targets.erase(m_context.peerAddress);
    targets.erase("");
    for (const auto &[address, period] : targets) {
        Instant &due = m_due[address];
        if (now >= due) {
            due = now + period;
            send(address);
        }
    }
    std::erase_if(m_due, [&targets](const auto &item) { return !targets.contains(item.first); });
}

void GossipService::send(const std::string &address)
{
    m_context.caller.call(address, {"gossip", encodeMessage(own())}, CallTimeout, [this](Result<std::string> answer) {
        m_context.scheduler.post([this, answer = std::move(answer)] {
            const auto *bytes = std::get_if<std::string>(&answer);
            const auto gossip = bytes == nullptr ? std::nullopt : decodeMessage<Gossip>(*bytes);
            if (gossip) {
                hear(*gossip);
            }
        });
    });
}

std::string GossipService::exchange(const Gossip &gossip)
{
    hear(gossip);
    return encodeMessage(own());
}

void GossipService::hear(const Gossip &gossip)
{
    if (gossip.instance == m_context.instance) {
        return;
    }
    m_context.peers.recordGossip(gossip);
    m_context.timeline.observe(gossip.logicalTime);
    if (gossip.revision > m_context.entries.revision() && !m_context.feed.lastCallSucceeded() && !m_fetching) {
        fetch(gossip.peerAddress);
    }
}

void GossipService::fetch(const std::string &address)
{
    m_fetching = true;
    m_context.caller.call(address, {"configuration", {}}, CallTimeout, [this](Result<std::string> answer) {
        m_context.scheduler.post([this, answer = std::move(answer)] {
            m_fetching = false;
            const auto *bytes = std::get_if<std::string>(&answer);
            const auto message = bytes == nullptr ? std::nullopt : decodeMessage<DocumentMessage>(*bytes);
            const Result<Json> parsed
                = message ? parseJson(message->document, "a peer's configuration") : Result<Json>(Error());
            if (errorOf(parsed) != nullptr) {
                return;
            }
            const Json &document = std::get<Json>(parsed);
            StoreListing listing;
            listing.revision = memberOr(document, "revision", StoreRevision {0});
            for (const Json &entry : memberOr(document, "entries", Json::array())) {
                listing.entries.push_back(
                    {memberOr(entry, "key", std::string()), memberOr(entry, "value", std::string()),
                        memberOr(entry, "revision", StoreRevision {0}), memberOr(entry, "lease", LeaseIdentifier {0})});
            }
            if (m_context.entries.applyListing(listing)) {
                m_context.timeline.record(
                    {.kind = "configuration.from-peer", .detail = "revision " + std::to_string(listing.revision)});
            }
        });
    });
}

std::string GossipService::snapshot() const
{
    const StoreListing listing = m_context.entries.snapshot();
    Json entries = Json::array();
    for (const StoreEntry &entry : listing.entries) {
        entries.push_back(
            {{"key", entry.key}, {"value", entry.value}, {"revision", entry.revision}, {"lease", entry.lease}});
    }
    const std::string document = writeJson({{"revision", listing.revision}, {"entries", std::move(entries)}});
    return encodeMessage(DocumentMessage {document, m_context.timeline.logicalTime()});
}

}
