#pragma once

#include "ownership/PartitionManager.h"
#include "peers/PeerEndpoint.h"
#include "profiles/ProfileCatalog.h"
#include "requests/RequestDispatcher.h"

#include <functional>
#include <map>
#include <string>

namespace Wagtail
{

// An urgent request as a caller or another instance submitted it.
struct RoutedRequest
{
    std::string identity;
    std::string profile;
    // The caller's idempotency key. Requests of a profile that is not idempotent must have one.
    std::string key;
    Instant deadline;
    // How often the request was forwarded.
    int hops = 0;
    std::string body;
    // An earlier attempt may have reached a worker, so the request must not be reported as not run.
    bool mayHaveRun = false;
};

// Routes urgent requests to the workers of this instance or, when these have no free capacity, to another instance:
// first in the data centre, then in the region, then in other regions. A request that may run at most once first goes
// to the owner of the partition that its idempotency key hashes to, which claims the key durably before it routes the
// request. Used on the control thread.
class RequestRouter
{
public:
    using Handler = std::function<void(RequestResult)>;

    struct Context
    {
        const Clock &clock;
        Scheduler &scheduler;
        PartitionManager &partitions;
        PeerDirectory &peers;
        PeerCaller &caller;
        ProfileCatalog &profiles;
        RequestDispatcher &dispatcher;
        Timeline &timeline;
        Metrics &metrics;
        const Settings &settings;
    };

    explicit RequestRouter(Context context);

    // Routes the request and calls the handler exactly once.
    void route(RoutedRequest request, Handler handler);

    // Routes a request that another instance sent because this one owns the partition of its key. Fails with NotOwner
    // when it does not.
    void routeAsKeyOwner(RoutedRequest request, Handler handler);

    // Rejects all further requests. Those already accepted go on.
    void close();

    [[nodiscard]] std::size_t openCount() const;

private:
    // A request whose key this instance is claiming or has claimed, and the callers that wait for its answer.
    struct RunningClaim
    {
        // A hash of profile and body, which detects another request with the same key.
        std::uint64_t digest = 0;
        std::vector<Handler> waiters;
        // The claim is durable and the request has been dispatched.
        bool claimed = false;
    };

    void dispatch(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void forward(RoutedRequest request, const std::string &address, const std::string &kind, Handler handler);
    void queueLocally(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void redispatch(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void forwardOrQueue(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void sendToKeyOwner(RoutedRequest request, bool earlierAttemptLost, Handler handler);
    void retryAtKeyOwner(RoutedRequest request, bool earlierAttemptLost, RequestResult failure, Handler handler);
    void claimAndRun(
        PartitionController &controller, const std::string &partition, RoutedRequest request, Handler handler);
    void onClaimed(const std::string &partition, RoutedRequest request, const Result<ClaimDecision> &result);
    void finishClaim(const std::string &partition, const std::string &key, RequestResult result);
    void answerWaiters(const std::string &key, const RequestResult &result);
    [[nodiscard]] Status checkKey(const std::string &key) const;
    [[nodiscard]] std::string partitionOfKey(const std::string &key) const;
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> chooseOffer(
        const RoutedRequest &request, const Profile &profile) const;
    [[nodiscard]] std::int64_t remaining(const RoutedRequest &request) const;

    Context m_context;
    std::map<std::string, RunningClaim> m_running;
    std::size_t m_open = 0;
    bool m_closed = false;
};

}
