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

// An urgent request as a caller or another daemon handed it in.
struct RoutedRequest
{
    std::string identity;
    std::string profile;
    // The caller's idempotency key; required when the profile's requests may run at most once.
    std::string key;
    Instant deadline;
    int hops = 0;
    std::string body;
    // An earlier attempt was handed over, so the request can't be called not run any more.
    bool mayHaveRun = false;
};

// Decides where an urgent request runs: here, at another daemon of the data centre, further away, or, when it may run
// at most once, at the keeper of its key. Used on the control thread.
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

    // Answers the request exactly once.
    void route(RoutedRequest request, Handler handler);

    // Takes a request that another daemon sent because this one keeps its key.
    void routeHome(RoutedRequest request, Handler handler);

    // Stops taking in new requests.
    void close();

    [[nodiscard]] std::size_t openCount() const;

private:
    // A claimed request on its way, and everybody who waits for its answer.
    struct RunningClaim
    {
        std::uint64_t digest = 0;
        std::vector<Handler> waiters;
        bool claimed = false;
    };

    void dispatch(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void forward(RoutedRequest request, const std::string &address, const std::string &kind, Handler handler);
    void queue(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void dispatchAgain(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void forwardOrQueue(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler);
    void sendHome(RoutedRequest request, bool uncertain, Handler handler);
    void retryHome(RoutedRequest request, bool uncertain, RequestResult failure, Handler handler);
    void claimAndRun(PartitionController &keeper, const std::string &partition, RoutedRequest request, Handler handler);
    void onClaimed(const std::string &partition, RoutedRequest request, const Result<ClaimDecision> &result);
    void finishClaim(const std::string &partition, const std::string &key, RequestResult result);
    void answerWaiters(const std::string &key, const RequestResult &result);
    [[nodiscard]] Status checkKey(const std::string &key) const;
    [[nodiscard]] std::string homeOf(const std::string &key) const;
    [[nodiscard]] std::optional<std::pair<std::string, std::string>> chooseOffer(
        const RoutedRequest &request, const Profile &profile) const;
    [[nodiscard]] std::int64_t remaining(const RoutedRequest &request) const;

    Context m_context;
    std::map<std::string, RunningClaim> m_running;
    std::size_t m_open = 0;
    bool m_closed = false;
};

}
