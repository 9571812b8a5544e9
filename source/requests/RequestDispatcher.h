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

// Gives access to the fleets of the partitions that this instance currently owns.
class FleetDirectory
{
public:
    FleetDirectory() = default;
    FleetDirectory(const FleetDirectory &) = delete;
    FleetDirectory &operator=(const FleetDirectory &) = delete;
    virtual ~FleetDirectory() = default;

    [[nodiscard]] virtual std::vector<Fleet *> fleets() = 0;
};

// A request of an urgent profile whose caller waits for the answer.
struct UrgentRequest
{
    std::string identity;
    std::shared_ptr<const Profile> profile;
    Instant deadline;
    // How long the request may stay in the queue of this instance. It then fails, so that its sender can try another.
    Instant queueUntil;
    std::string body;
};

// Sends urgent requests to the workers of owned partitions. Reserves capacity before each attempt, queues requests up
// to the profile's limit while no worker has capacity, retries within a retry budget and sheds requests that can't be
// answered before their deadline. Used on the control thread.
class RequestDispatcher
{
public:
    using Handler = std::function<void(RequestResult)>;

    // Called for each successful answer with the worker, the profile, the number of other pieces of work of each
    // profile that ran on the worker when the request was sent, and the latency in seconds.
    using LatencyObserver = std::function<void(const std::string &worker, const std::string &profile,
        const std::map<std::string, std::int64_t> &colocated, double seconds)>;

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

    // Runs the request and calls the handler exactly once. The outcome is NotRun with NoRoom when no owned worker gets
    // capacity before queueUntil, with Overloaded when the profile's queue is full, and with DeadlineExceeded when the
    // request can't be answered in time.
    void submit(UrgentRequest request, Handler handler);

    // Sends the queued requests for which a worker has capacity and fails those that have waited too long.
    void tick();

    [[nodiscard]] std::size_t queuedCount() const;
    [[nodiscard]] std::size_t runningCount() const;

private:
    struct PendingRequest
    {
        UrgentRequest request;
        Handler handler;
        std::uint64_t attempt = 0;
        Instant submittedAt;
        Instant sentAt;
        std::string worker;
        std::map<std::string, std::int64_t> colocated;
        // Workers on which an attempt failed; the next attempt prefers another one.
        std::set<std::string> excludedWorkers;
        // An earlier attempt may have reached a worker, so the request must not be reported as not run.
        bool mayHaveRun = false;
    };

    struct ProfileState
    {
        std::multimap<Instant, std::shared_ptr<PendingRequest>> queue;
        RetryBudget budget;
        double expectedSeconds = 0;
    };

    struct WorkerHealth
    {
        int consecutiveFailures = 0;
        Instant avoidUntil;
        Milliseconds avoidDuration {0};
    };

    bool trySend(const std::shared_ptr<PendingRequest> &pending);
    void send(const std::shared_ptr<PendingRequest> &pending, const FleetWorker &worker);
    void onResult(const std::shared_ptr<PendingRequest> &pending, RequestResult result);
    [[nodiscard]] bool mayRetry(const PendingRequest &pending, const RequestResult &result);
    void enqueue(const std::shared_ptr<PendingRequest> &pending);
    void dispatchQueued();
    void expireQueued();
    void finish(const PendingRequest &pending, RequestResult result);
    void recordAttempt(const PendingRequest &pending, const RequestResult &result);
    [[nodiscard]] bool willMissDeadline(const PendingRequest &pending) const;
    [[nodiscard]] std::int64_t remainingMilliseconds(const PendingRequest &pending) const;
    [[nodiscard]] static Demand demandOf(const Profile &profile);
    [[nodiscard]] static std::string holderOf(const PendingRequest &pending);

    Context m_context;
    std::map<std::string, ProfileState> m_profiles;
    std::map<std::string, WorkerHealth> m_health;
    std::size_t m_queued = 0;
    std::size_t m_running = 0;
};

}
