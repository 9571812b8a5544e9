#include "membership/PeerDirectory.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds FreshFor {2500};
constexpr Milliseconds ForgottenAfter {600'000};

}

PeerDirectory::PeerDirectory(const Clock &clock) : m_clock(clock)
{
}

void PeerDirectory::recordGossip(const Gossip &gossip)
{
    const Instant now = m_clock.now();
    m_peers[gossip.instance] = {gossip, now};
    std::erase_if(m_peers, [now](const auto &item) { return now - item.second.heardAt > ForgottenAfter; });
}

std::vector<const Gossip *> PeerDirectory::recentGossip() const
{
    std::vector<const Gossip *> result;
    const Instant now = m_clock.now();
    for (const auto &[instance, peer] : m_peers) {
        if (now - peer.heardAt <= FreshFor) {
            result.push_back(&peer.gossip);
        }
    }
    return result;
}

bool PeerDirectory::hasRecentGossip(const std::string &instance) const
{
    const auto found = m_peers.find(instance);
    return found != m_peers.end() && m_clock.now() - found->second.heardAt <= FreshFor;
}

std::optional<std::pair<std::string, PartitionOffer>> PeerDirectory::latestOffer(const std::string &partition) const
{
    std::optional<std::pair<std::string, PartitionOffer>> best;
    for (const Gossip *gossip : recentGossip()) {
        for (const PartitionOffer &offer : gossip->offers) {
            if (offer.partition == partition && (!best || offer.token > best->second.token)) {
                best = std::pair(gossip->peerAddress, offer);
            }
        }
    }
    return best;
}

std::string PeerDirectory::regionOf(const std::string &peerAddress) const
{
    for (const Gossip *gossip : recentGossip()) {
        if (gossip->peerAddress == peerAddress) {
            return gossip->region;
        }
    }
    return {};
}

void PeerDirectory::deductSlots(const std::string &partition, std::int64_t slots)
{
    for (auto &[instance, peer] : m_peers) {
        for (PartitionOffer &offer : peer.gossip.offers) {
            if (offer.partition == partition) {
                offer.freeSlots -= slots;
            }
        }
    }
}

}
