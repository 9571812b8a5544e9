#pragma once

#include "daemon/GossipService.h"
#include "daemon/InstanceListFeed.h"
#include "entry/HttpApi.h"
#include "peers/PeerEndpoint.h"
#include "routing/RequestRouter.h"
#include "routing/TaskRouter.h"

namespace Wagtail
{

// Handles the messages of other instances. Used on the control thread.
class PeerService
{
public:
    struct Context
    {
        const Clock &clock;
        RequestRouter &requests;
        TaskRouter &tasks;
        HttpApi &httpApi;
        GossipService &gossip;
        InstanceListFeed &instances;
        StoreClient &store;
        Timeline &timeline;
        Metrics &metrics;
    };

    explicit PeerService(Context context);

    // Handles one message and replies exactly once. An unknown kind or a malformed body gets an InvalidInput error.
    void handle(const PeerMessage &message, const PeerReply &reply);

private:
    void handleRequest(const PeerMessage &message, const PeerReply &reply);
    void handleDocument(const PeerMessage &message, const PeerReply &reply);

    Context m_context;
};

}
