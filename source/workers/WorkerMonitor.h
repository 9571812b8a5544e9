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

// How a monitor keeps contact with its workers.
struct WorkerMonitorLimits
{
    Milliseconds heartbeatPeriod {1000};
    Milliseconds retryPeriod {400};
    Milliseconds taskLease {5000};
    Milliseconds margin {250};
};

// Whether a listener has dealt with everything in a report, so that it need not be sent again.
enum class ReportProcessing {
    Complete,
    Partial,
};

// Fences the workers of one partition, renews the leases of their tasks, and tells when a worker's leases
// have surely run out. Used on the control thread.
class WorkerMonitor
{
public:
    // What the monitor tells its owner.
    class Listener
    {
    public:
        Listener() = default;
        Listener(const Listener &) = delete;
        Listener &operator=(const Listener &) = delete;
        virtual ~Listener() = default;

        // The worker answered. On the first answer under this token no earlier owner can give it work any more.
        virtual ReportProcessing onWorkerReport(const std::string &worker, const WorkerReport &report, bool first) = 0;

        // The worker did not answer a heartbeat.
        virtual void onWorkerSilent(const std::string &worker) = 0;

        // Every lease that the worker held has run out by now, whatever it does.
        virtual void onWorkerLost(const std::string &worker) = 0;

        // The worker has seen a higher token.
        virtual void onWorkerTokenRejected(const std::string &worker) = 0;
    };

    WorkerMonitor(WorkerControl &control, const Clock &clock, Listener &listener, WorkerMonitorLimits limits,
        std::string owner, FencingToken token);
    ~WorkerMonitor();
    WorkerMonitor(const WorkerMonitor &) = delete;
    WorkerMonitor &operator=(const WorkerMonitor &) = delete;

    // Adds a worker. Until it is reached, its leases are taken to last until the given time.
    void add(const std::string &worker, const std::string &address, Instant unreachedUntil);
    void remove(const std::string &worker);

    // Sends the heartbeats that are due and tells of lost workers.
    void tick();

    // Tells the worker with its next heartbeat that the end of an attempt is recorded.
    void acknowledgeEnd(const std::string &worker, TaskAttempt attempt);

    // Returns whether the worker's lease is held, so that starts on it are allowed.
    [[nodiscard]] bool holdsLease(const std::string &worker) const;

    // Returns the sequence number of the worker's last report, or 0 when there is none.
    [[nodiscard]] std::uint64_t lastReportSequence(const std::string &worker) const;

    // Returns whether every lease that the worker held has run out.
    [[nodiscard]] bool isLost(const std::string &worker) const;

private:
    struct Contact
    {
        std::string address;
        Instant nextHeartbeat;
        Instant leasesEnd;
        std::uint64_t sequence = 0;
        std::uint64_t reports = 0;
        std::string knownTasks;
        bool waiting = false;
        bool lost = false;
        std::vector<TaskAttempt> settled;
    };

    void beat(const std::string &worker, Contact &contact);
    void onAnswer(const std::string &worker, std::size_t settledCount, const Result<WorkerReport> &result);

    WorkerControl &m_control;
    const Clock &m_clock;
    Listener &m_listener;
    WorkerMonitorLimits m_limits;
    std::string m_owner;
    FencingToken m_token;
    std::map<std::string, Contact> m_contacts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
