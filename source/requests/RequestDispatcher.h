#pragma once

#include "base/Scheduler.h"
#include "metrics/Metrics.h"
#include "placement/PlacementPolicy.h"
#include "profiles/Profile.h"
#include "requests/RetryBudget.h"
#include "timeline/Timeline.h"
#include "workers/RequestSender.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Wagtail
{

// The fleets of the partitions that this instance owns at the moment.
class FleetDirectory
{
public:
    FleetDirectory() = default;
    FleetDirectory(const FleetDirectory &) = delete;
    FleetDirectory &operator=(const FleetDirectory &) = delete;
    virtual ~FleetDirectory() = default;

    [[nodiscard]] virtual std::vector<Fleet *> fleets() = 0;
};

// A request that waits for its answer here.
struct UrgentRequest
{
    std::string identity;
    std::shared_ptr<const Profile> profile;
    Instant deadline;
    // How long the request may wait for room here; its sender then looks elsewhere again.
    Instant queueUntil;
    std::string body;
};

// Sends urgent requests to owned workers: reserves room, queues within bounds, retries within the budget, and sheds
// what can't be answered in time. Used on the control thread.
class RequestDispatcher
{
public:
    using Handler = std::function<void(RequestResult)>;

    // Told of each good answer: the worker, the profile, what ran beside it when it was sent, and how long it took.
    using LatencyObserver = std::function<void(const std::string &worker, const std::string &profile,
        const std::map<std::string, std::int64_t> &beside, double seconds)>;

    struct Context
    {
        const Clock &clock;
        Scheduler &scheduler;
        RequestSender &sender;
        PlacementPolicy &placement;
        FleetDirectory &fleets;
        Timeline &timeline;
        Metrics &metrics;
        LatencyObserver observe;
    };

    explicit RequestDispatcher(Context context);

    // Runs the request. It fails as not run with NoRoom when no owned worker has room until it must stop
    // waiting, and with Overloaded when too many others wait.
    void submit(UrgentRequest request, Handler handler);

    // Sheds queued requests whose time is up and sends those for which there is room.
    void tick();

    [[nodiscard]] std::size_t queuedCount() const;
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct Call
    {
        UrgentRequest request;
        Handler handler;
        std::uint64_t attempt = 0;
        Instant since;
        Instant sentAt;
        std::string worker;
        std::map<std::string, std::int64_t> beside;
        std::set<std::string> refusedBy;
        // An earlier attempt was handed over, so the request can't be called not run any more.
        bool mayHaveRun = false;
    };

    struct ProfileState
    {
        std::multimap<Instant, std::shared_ptr<Call>> queue;
        RetryBudget budget;
        double expectedSeconds = 0;
    };

    struct WorkerHealth
    {
        int failures = 0;
        Instant avoidUntil;
        Milliseconds avoidance {0};
    };

    bool trySend(const std::shared_ptr<Call> &call);
    void send(const std::shared_ptr<Call> &call, const FleetWorker &worker);
    void onResult(const std::shared_ptr<Call> &call, RequestResult result);
    [[nodiscard]] bool mayRetry(const Call &call, const RequestResult &result);
    void enqueue(const std::shared_ptr<Call> &call);
    void drain();
    void endWaits();
    void finish(const Call &call, RequestResult result);
    void learn(const Call &call, const RequestResult &result);
    [[nodiscard]] bool isHopeless(const Call &call) const;
    [[nodiscard]] std::int64_t remainingMilliseconds(const Call &call) const;
    [[nodiscard]] static Demand demandOf(const Profile &profile);
    [[nodiscard]] static std::string holderOf(const Call &call);

    Context m_context;
    std::map<std::string, ProfileState> m_profiles;
    std::map<std::string, WorkerHealth> m_health;
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
};

}
