#pragma once

#include "daemon/GossipService.h"
#include "daemon/InstanceListFeed.h"
#include "entry/EntryApi.h"
#include "peers/PeerEndpoint.h"
#include "routing/RequestRouter.h"
#include "routing/TaskRouter.h"

namespace Wagtail
{

// Answers the messages of other daemons. Used on the control thread.
class PeerService
{
public:
    struct Context
    {
        const Clock &clock;
        RequestRouter &requests;
        TaskRouter &tasks;
        EntryApi &entry;
        GossipService &gossip;
        InstanceListFeed &instances;
        StoreClient &store;
        Timeline &timeline;
        Metrics &metrics;
    };

    explicit PeerService(Context context);

    // Answers one message; an unknown kind or an unreadable body gets an InvalidInput error.
    void handle(const PeerMessage &message, const PeerReply &reply);

private:
    void handleRequest(const PeerMessage &message, const PeerReply &reply);
    void handleDocument(const PeerMessage &message, const PeerReply &reply);

    Context m_context;
};

}
