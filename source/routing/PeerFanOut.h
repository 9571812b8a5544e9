#pragma once

#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "membership/PeerDirectory.h"
#include "peers/PeerEndpoint.h"
#include "timeline/Timeline.h"

#include <functional>
#include <string>
#include <vector>

namespace Wagtail
{

// Sends the same query to all other instances and gathers their answers. Used on the control thread.
class PeerFanOut
{
public:
    struct Context
    {
        Scheduler &scheduler;
        PeerDirectory &peers;
        PeerCaller &caller;
        VersionedEntries &entries;
        Timeline &timeline;
        std::string instance;
    };

    // Receives the answers, and a JSON array with the names of the instances that gave none.
    using Handler = std::function<void(std::vector<Json> answers, Json unanswered)>;

    explicit PeerFanOut(Context context);

    // Sends a query of a peer message kind. Calls the handler once, after every instance has answered or timed out.
    void query(const std::string &kind, const Json &request, Handler handler);

private:
    struct PendingQuery;

    [[nodiscard]] std::map<std::string, std::string> peerAddresses() const;

    Context m_context;
};

}
