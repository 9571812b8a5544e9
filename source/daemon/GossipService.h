#pragma once

#include "configuration/PrefixWatcher.h"
#include "daemon/StoreClient.h"
#include "ownership/PartitionManager.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// Tells the other instances what this one offers, hears the same of them, and fetches the configuration from a peer
// that has a newer revision while the store can't be followed. Used on the control thread.
class GossipService
{
public:
    struct Context
    {
        const Clock &clock;
        Scheduler &scheduler;
        PeerCaller &caller;
        PeerDirectory &peers;
        PartitionManager &partitions;
        VersionedEntries &entries;
        PrefixWatcher &feed;
        StoreClient &store;
        Timeline &timeline;
        const Settings &settings;
        std::string instance;
        std::string peerAddress;
    };

    explicit GossipService(Context context);

    // Sends what is due. Call it several times a second.
    void tick();

    // Says in all later messages that this instance is leaving.
    void setLeaving();

    // Takes in a peer's message and returns this instance's own.
    [[nodiscard]] std::string exchange(const Gossip &gossip);

    // Returns the configuration as this instance holds it, for a peer that is behind.
    [[nodiscard]] std::string snapshot() const;

private:
    void hear(const Gossip &gossip);
    void send(const std::string &address);
    void fetch(const std::string &address);
    [[nodiscard]] Gossip own();

    Context m_context;
    std::map<std::string, Instant> m_due;
    bool m_leaving = false;
    bool m_fetching = false;
};

}
