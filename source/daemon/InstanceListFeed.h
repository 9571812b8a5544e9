#pragma once

#include "daemon/StoreClient.h"
#include "ownership/PartitionManager.h"

#include <functional>
#include <string>

namespace Wagtail
{

// Polls the platform's list of the workers in this data centre and passes it to the partition manager. One instance of
// the data centre requests the list from the platform and the others request it from that instance, so that the number
// of calls to the platform grows with the data centres and not with the instances. Used on the control thread.
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

    // Requests the list and goes on polling.
    void start();

    // Returns the latest list with its age in milliseconds, for another instance of the data centre.
    [[nodiscard]] Json listForPeer() const;

private:
    void poll();
    void requestFromPlatform();
    void requestFromPeer(const std::string &address);
    void apply(const Json &document, Instant asOf);
    void scheduleNextPoll();
    [[nodiscard]] std::string pollerAddress() const;

    Context m_context;
    Json m_list;
    Instant m_asOf;
};

}
