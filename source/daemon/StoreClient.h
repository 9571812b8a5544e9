#pragma once

#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "membership/PeerDirectory.h"
#include "metrics/Metrics.h"
#include "peers/PeerEndpoint.h"

#include <string>

namespace Wagtail
{

// Sends calls to the store directly and, when the store does not answer, once more through a neighbour that reaches
// it. Counts every call. Used on the control thread.
class StoreClient final : public HttpClient
{
public:
    struct Context
    {
        HttpClient &direct;
        PeerCaller &caller;
        PeerDirectory &peers;
        const Clock &clock;
        Scheduler &scheduler;
        Metrics &metrics;
        std::string baseAddress;
        std::string dataCentre;
    };

    explicit StoreClient(Context context);

    void send(HttpCall call, Handler handler) override;

    // Makes a call on behalf of a neighbour; never passes it on to a third.
    void sendRelayed(const RelayedCall &call, std::function<void(Result<std::string>)> reply);

    // Returns whether the store answered a direct call lately.
    [[nodiscard]] bool isReachable() const;

private:
    void sendDirect(HttpCall call, Handler handler);
    void relay(const HttpCall &call, HttpAnswer failure, Handler handler);
    [[nodiscard]] const Gossip *helper() const;

    Context m_context;
    Instant m_reachedAt;
};

}
