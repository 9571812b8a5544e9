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

// Exchanges gossip with the other instances: the offers of their partitions and the revision of their configuration.
// While the store can't be followed, fetches the configuration from a peer that has a newer revision. Used on the
// control thread.
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
        PrefixWatcher &configurationWatcher;
        StoreClient &store;
        Timeline &timeline;
        const Settings &settings;
        std::string instance;
        std::string peerAddress;
    };

    explicit GossipService(Context context);

    // Sends the gossip that is due. Must be called several times a second.
    void tick();

    // Announces in all further messages that this instance is leaving.
    void setLeaving();

    // Processes a peer's gossip and returns the gossip of this instance, encoded.
    [[nodiscard]] std::string exchange(const Gossip &gossip);

    // Returns the configuration that this instance holds, encoded for a peer that has an older revision.
    [[nodiscard]] std::string configurationSnapshot() const;

private:
    void receive(const Gossip &gossip);
    void send(const std::string &address);
    void fetchConfiguration(const std::string &address);
    [[nodiscard]] Gossip localGossip();

    Context m_context;
    std::map<std::string, Instant> m_due;
    bool m_leaving = false;
    bool m_fetching = false;
};

}
