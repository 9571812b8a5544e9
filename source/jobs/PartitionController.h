#pragma once

#include "base/Clock.h"
#include "base/PartitionIdentity.h"
#include "base/Scheduler.h"
#include "jobs/PartitionLog.h"
#include "jobs/TaskTable.h"
#include "jobs/TeamQuotas.h"
#include "placement/PlacementPolicy.h"
#include "timeline/Timeline.h"
#include "workers/WorkerMonitor.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Wagtail
{

// The services that a partition's controller uses. All of them outlive the controller.
struct PartitionContext
{
    const Clock &clock;
    Scheduler &scheduler;
    Store &store;
    WorkerControl &control;
    PlacementPolicy &placement;
    Timeline &timeline;
    const TeamQuotas &quotas;
};

// Identifies one leader term of a partition, which its owner acts under, and holds its limits. The fencing token orders
// the terms.
struct LeaderTerm
{
    PartitionIdentity partition;
    std::string instance;
    FencingToken token = 0;
    WorkerMonitorLimits limits;
    // How long the lease of a worker that has not yet reported in this term may still last.
    Milliseconds unreachedHold {};
    std::int64_t claimWindowMilliseconds = 900'000;
};

// Says whether a partition's owner may act at present.
enum class OwnershipState {
    // The store confirms the ownership.
    Held,
    // No instance in the data centre can reach the store: assigned attempts continue, nothing new is assigned.
    StoreOutage,
    // Another instance may take over: nothing is started and no lease is renewed.
    CutOff,
};

[[nodiscard]] std::string_view nameOf(OwnershipState ownershipState);

// The answer to a claim of an idempotency key, given by the owner of the key's home partition.
struct ClaimDecision
{
    enum class Kind {
        // The caller may send the request to a worker once.
        Run,
        // The request has run; its recorded outcome is the answer.
        Recorded,
        // The key is claimed and no outcome is recorded, either because the request still runs or because it was lost.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    KeyOutcomeRecorded recorded;
};

// Controls one partition for one leader term: its tasks, its idempotency keys and its group of workers. State
// changes are appended to the PartitionLog before they take effect; the WorkerMonitor renews the leases of the workers.
// An assignment is durable before its start is sent, and an attempt is replaced only once it certainly has ended, so
// that no task runs on two workers at once. Not thread-safe: used on the control thread.
class PartitionController final : private WorkerMonitor::Listener
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;
    // Called once when another instance has taken over the partition.
    using OwnershipLostHandler = std::function<void()>;

    PartitionController(PartitionContext context, LeaderTerm term, OwnershipLostHandler ownershipLost);
    ~PartitionController() override;

    // Recovers the partition's state from the store and fences the previous owner.
    void start();

    // Sets the group of workers that the controller uses. A removed worker stays while the log assigns a task to it.
    void setWorkers(const std::vector<WorkerDescription> &workers);

    // Sends the heartbeats, starts and stops that are due and assigns waiting tasks. Call several times per second.
    void tick(OwnershipState ownershipState);

    // Accepts a task and calls the handler once it is durable. Idempotent: a known task is answered with its entry.
    void submit(TaskAccepted task, Handler<TaskEntry> handler);

    // Requests the cancellation of a task and calls the handler once the request is durable.
    void cancel(const std::string &task, Handler<TaskEntry> handler);

    // Claims an idempotency key for a request that may run at most once.
    void claim(KeyClaimed claim, Handler<ClaimDecision> handler);

    // Records the outcome of a request whose key was claimed.
    void recordOutcome(KeyOutcomeRecorded outcome, Handler<std::monostate> handler);

    // Starts to move a waiting task to the target partition.
    void startMove(const std::string &task, const std::string &target);

    // Ends a move; a task that the target refused waits here again.
    void endMove(const std::string &task, bool accepted);

    // Stops a task's attempt so that the task can resume elsewhere, from its checkpoint if it wrote one.
    void evict(const std::string &task, const std::string &reason);

    // Limits a running task to a percentage of its speed; 100 removes the limit.
    void throttle(const std::string &task, int percent);

    // Returns the idempotent batch tasks that run on a worker, mapped to their profiles.
    [[nodiscard]] std::map<std::string, std::string> repeatableTasksOn(const std::string &worker) const;

    // Stops assigning tasks, waits for pending starts and commits up to a limit, then calls the handler.
    void handOver(std::function<void()> handler);

    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const TaskTable &table() const;

    // Returns the workers of this partition with the resources reserved on them.
    [[nodiscard]] Fleet &fleet();
    [[nodiscard]] const Fleet &fleet() const;
    [[nodiscard]] const LeaderTerm &term() const;
    [[nodiscard]] std::vector<std::string> workers() const;

    // Returns how long the oldest commit has been waiting for the store.
    [[nodiscard]] Milliseconds logStalledFor() const;

    // Returns the resources that each team's assigned tasks use in this partition.
    [[nodiscard]] const std::map<std::string, Resources> &teamUsage() const;

    // Explains to a user why a task waits, or why it runs where it does.
    [[nodiscard]] std::string explain(const std::string &task) const;

private:
    // How far this term has brought an assigned attempt.
    enum class AttemptState {
        // Assigned in an earlier term; its worker has not reported in this one.
        Unverified,
        // The start has not been sent.
        Ready,
        Starting,
        // The start was sent and may have taken effect; the start or a stop is repeated until the answer is definite.
        StartUncertain,
        Running,
        Stopping,
    };

    struct Attempt
    {
        AttemptState state = AttemptState::Unverified;
        bool stopRequested = false;
        int percent = 100;
        std::string stopReason;
        Instant retryAt;
    };

    struct PendingHandOver
    {
        std::function<void()> handler;
        Instant deadline;
    };

    ReportProcessing onWorkerReport(const std::string &worker, const WorkerReport &report, bool first) override;
    void onWorkerSilent(const std::string &worker) override;
    void onWorkerLost(const std::string &worker) override;
    void onWorkerTokenRejected(const std::string &worker) override;

    void onRecovered(Result<TaskTable> result);
    void commit(
        const std::string &subject, std::vector<PartitionLogRecord> records, std::function<void(const Status &)> done);
    void applyDurable(const std::vector<PartitionLogRecord> &records);
    ReportProcessing reconcile(const std::string &worker, const TaskReport &report);
    void evictRepeatableTasks(const std::string &worker);
    void reconcileMissing(const std::string &worker, const WorkerReport &report);
    void recordEnd(const TaskEntry &entry, const TaskReport &report);
    void releaseAttempt(
        const TaskEntry &entry, ReleaseReason reason, const std::string &checkpoint, const std::string &detail);
    void finishTask(const TaskEntry &entry, TaskPhase phase, const std::string &result);
    void driveAttempts();
    void driveAttempt(const TaskEntry &entry, Attempt &attempt);
    void sendStart(const TaskEntry &entry, Attempt &attempt);
    void onStartAnswer(const std::string &task, std::uint64_t attemptNumber, const Status &status);
    void sendStop(const TaskEntry &entry, Attempt &attempt);
    void onStopAnswer(const std::string &task, std::uint64_t attemptNumber, const Result<StopAnswer> &result);
    void assignWaitingTasks();
    bool assign(const TaskEntry &entry);
    [[nodiscard]] std::vector<const TaskEntry *> waitingTasks() const;
    [[nodiscard]] bool mayStart(const TaskEntry &entry) const;
    [[nodiscard]] bool isWithinQuota(const TaskEntry &entry) const;
    void recountTeamUsage();
    [[nodiscard]] Attempt *findAttempt(const std::string &task, std::uint64_t attemptNumber);
    [[nodiscard]] static std::string holderOf(const std::string &task);
    void recordEvent(const std::string &kind, const TaskEntry &entry, const std::string &detail);
    void progressHandOver();
    void startBackoff(const TaskEntry &entry);

    PartitionContext m_context;
    LeaderTerm m_term;
    OwnershipLostHandler m_ownershipLostHandler;
    PartitionLog m_log;
    WorkerMonitor m_monitor;
    TaskTable m_table;
    std::map<std::string, Attempt> m_attempts;
    // Tasks whose attempts have to be started or stopped; tick() visits only these.
    std::set<std::string> m_attemptsToDrive;
    // Earliest time of the next start of a task that failed (backoff).
    std::map<std::string, Instant> m_earliestStart;
    // Tasks and keys with a record that is not yet durable; nothing else is decided about them until it is.
    std::set<std::string> m_pending;
    std::set<std::string> m_claimsHere;
    Fleet m_fleet;
    std::map<std::string, WorkerDescription> m_workers;
    std::map<std::string, std::string> m_incarnations;
    std::map<std::string, Resources> m_teamUsage;
    Instant m_nextTeamUsageRecount;
    std::map<std::string, int> m_consecutiveWorkerFailures;
    std::map<std::string, Instant> m_quarantinedUntil;
    OwnershipState m_ownershipState = OwnershipState::Held;
    bool m_ready = false;
    bool m_handingOver = false;
    std::optional<PendingHandOver> m_handOver;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
