#pragma once

#include "base/Clock.h"
#include "workers/WorkerControl.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Wagtail
{

// The times by which a monitor sends heartbeats and decides that leases have expired. The margin is added to the task
// lease before a worker counts as lost.
struct WorkerMonitorLimits
{
    Milliseconds heartbeatPeriod {1000};
    Milliseconds retryPeriod {400};
    Milliseconds taskLease {5000};
    Milliseconds margin {250};
};

// Whether a listener has processed a report completely. If so, the worker need not send an unchanged task list again.
enum class ReportProcessing {
    Complete,
    Partial,
};

// Fences the workers of one partition, renews the leases of their tasks and reports when all leases of a worker have
// certainly expired. Used on the control thread.
class WorkerMonitor
{
public:
    // Receives the monitor's events.
    class Listener
    {
    public:
        Listener() = default;
        Listener(const Listener &) = delete;
        Listener &operator=(const Listener &) = delete;
        virtual ~Listener() = default;

        // The worker answered a heartbeat. From the first answer under this token on, no earlier owner can start work
        // on the worker. Returns whether the report was processed completely.
        virtual ReportProcessing onWorkerReport(const std::string &worker, const WorkerReport &report, bool first) = 0;

        // The worker did not answer a heartbeat.
        virtual void onWorkerSilent(const std::string &worker) = 0;

        // Every lease that the worker held has certainly expired, in whatever state the worker is.
        virtual void onWorkerLost(const std::string &worker) = 0;

        // The worker refused this owner's fencing token because it has seen a higher one.
        virtual void onWorkerTokenRejected(const std::string &worker) = 0;
    };

    WorkerMonitor(WorkerControl &control, const Clock &clock, Listener &listener, WorkerMonitorLimits limits,
        std::string owner, FencingToken token);
    ~WorkerMonitor();
    WorkerMonitor(const WorkerMonitor &) = delete;
    WorkerMonitor &operator=(const WorkerMonitor &) = delete;

    // Adds a worker. Until it answers, its leases are assumed to last until the given time. The address of a known
    // worker is updated.
    void add(const std::string &worker, const std::string &address, Instant unreachedUntil);
    void remove(const std::string &worker);

    // Sends the heartbeats that are due and reports workers whose leases have expired.
    void tick();

    // Tells the worker with the next heartbeat that the end of an attempt is recorded.
    void acknowledgeEnd(const std::string &worker, TaskAttempt attempt);

    // Returns whether the worker holds a lease, so that attempts may be started on it.
    [[nodiscard]] bool holdsLease(const std::string &worker) const;

    // Returns the sequence number of the worker's last report, or 0 if there is none.
    [[nodiscard]] std::uint64_t lastReportSequence(const std::string &worker) const;

    // Returns whether every lease that the worker held has expired.
    [[nodiscard]] bool isLost(const std::string &worker) const;

private:
    struct WorkerState
    {
        std::string address;
        Instant nextHeartbeat;
        Instant leasesEndAt;
        std::uint64_t sequence = 0;
        std::uint64_t reportCount = 0;
        std::string knownTasksVersion;
        bool awaitingAnswer = false;
        bool lost = false;
        // The ends that the next heartbeat acknowledges.
        std::vector<TaskAttempt> recordedEnds;
    };

    void sendHeartbeat(const std::string &worker, WorkerState &state);
    void onHeartbeatAnswer(
        const std::string &worker, std::size_t acknowledgedCount, const Result<WorkerReport> &result);

    WorkerControl &m_control;
    const Clock &m_clock;
    Listener &m_listener;
    WorkerMonitorLimits m_limits;
    std::string m_owner;
    FencingToken m_token;
    std::map<std::string, WorkerState> m_workers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
