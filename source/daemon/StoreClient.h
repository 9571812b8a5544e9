#pragma once

#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "membership/PeerDirectory.h"
#include "metrics/Metrics.h"
#include "peers/PeerEndpoint.h"

#include <string>

namespace Wagtail
{

// Sends calls to the store. When the store does not answer, relays the call once through another instance of the data
// centre that can reach it. A call that may not be sent again is lost then if it may have been carried out; the next
// one is relayed at once. Counts every call in the metrics. Used on the control thread.
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

    // Makes a call on behalf of another instance. Never relays it further.
    void sendRelayed(const RelayedCall &call, std::function<void(Result<std::string>)> reply);

    // Returns whether the store answered a direct call recently.
    [[nodiscard]] bool isReachable() const;

private:
    void sendDirect(HttpCall call, Handler handler);
    void relay(const HttpCall &call, Handler handler);
    [[nodiscard]] const Gossip *relayPeer() const;

    Context m_context;
    Instant m_lastAnswerAt;
    // Whether the store did not answer the last direct call.
    bool m_hasFailed = false;
};

}
