#pragma once

#include "base/Clock.h"
#include "peers/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The newest gossip of each other instance, and when it was heard.
class PeerDirectory
{
public:
    explicit PeerDirectory(const Clock &clock);

    void recordGossip(const Gossip &gossip);

    // Returns the peers that were heard of lately.
    [[nodiscard]] std::vector<const Gossip *> recentGossip() const;

    [[nodiscard]] bool hasRecentGossip(const std::string &instance) const;

    // Returns the newest offer for a partition among the peers heard of lately, with the peer's address.
    [[nodiscard]] std::optional<std::pair<std::string, PartitionOffer>> latestOffer(const std::string &partition) const;

    // Returns the region of the peer at an address, or an empty text when it was not heard of lately.
    [[nodiscard]] std::string regionOf(const std::string &peerAddress) const;

    // Takes an expected use off an offer until the next gossip brings the truth.
    void deductSlots(const std::string &partition, std::int64_t slots);

private:
    struct Peer
    {
        Gossip gossip;
        Instant heardAt;
    };

    const Clock &m_clock;
    std::map<std::string, Peer> m_peers;
};

}
