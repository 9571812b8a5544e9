#pragma once

#include "daemon/StoreClient.h"
#include "ownership/PartitionManager.h"

#include <functional>
#include <string>

namespace Wagtail
{

// Follows the platform's list of the data centre's workers. One instance of the data centre asks the platform, the
// others ask that instance, so that the platform's calls grow with the data centres and not with the instances.
// Used on the control thread.
class InstanceListFeed
{
public:
    struct Context
    {
        const Clock &clock;
        Scheduler &scheduler;
        StoreClient &store;
        PeerCaller &caller;
        PeerDirectory &peers;
        PartitionManager &partitions;
        const Settings &settings;
        std::string instance;
    };

    explicit InstanceListFeed(Context context);

    void start();

    // Returns the newest list for a neighbour, with its age in milliseconds.
    [[nodiscard]] Json share() const;

private:
    void poll();
    void askPlatform();
    void askNeighbour(const std::string &address);
    void apply(const Json &document, Instant takenAt);
    void pollAgain();
    [[nodiscard]] std::string leaderAddress() const;

    Context m_context;
    Json m_list;
    Instant m_takenAt;
};

}
