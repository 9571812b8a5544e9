#pragma once

#include "base/Clock.h"
#include "peers/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The latest gossip of each other instance and the time it was received. Old gossip is removed, but
// only after it has long ceased to count as recent.
class PeerDirectory
{
public:
    explicit PeerDirectory(const Clock &clock);

    void recordGossip(const Gossip &gossip);

    // Returns the recent gossip of all peers.
    [[nodiscard]] std::vector<const Gossip *> recentGossip() const;

    // Returns whether there is recent gossip of an instance.
    [[nodiscard]] bool hasRecentGossip(const std::string &instance) const;

    // Returns the offer with the highest token for a partition in recent gossip, with the address of the offering peer.
    [[nodiscard]] std::optional<std::pair<std::string, PartitionOffer>> latestOffer(const std::string &partition) const;

    // Returns the region of the peer at an address, or an empty string without recent gossip of it.
    [[nodiscard]] std::string regionOf(const std::string &peerAddress) const;

    // Deducts slots that are about to be used from the offers for a partition, until the next gossip replaces them.
    void deductSlots(const std::string &partition, std::int64_t slots);

private:
    struct Peer
    {
        Gossip gossip;
        Instant receivedAt;
    };

    const Clock &m_clock;
    std::map<std::string, Peer> m_peers;
};

}
