#pragma once

#include "base/Clock.h"
#include "base/PartitionIdentity.h"
#include "base/Scheduler.h"
#include "jobs/ShardLog.h"
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

// What a keeper works with. All of it outlives the keeper.
struct KeeperContext
{
    const Clock &clock;
    Scheduler &scheduler;
    Store &store;
    WorkerControl &control;
    PlacementPolicy &placement;
    Timeline &timeline;
    const TeamQuotas &quotas;
};

// The identity and limits of one tenure of a partition.
struct KeeperTenure
{
    PartitionIdentity partition;
    std::string instance;
    FencingToken token = 0;
    WorkerMonitorLimits limits;
    // How long the leases of workers that this tenure has not reached may still last.
    Milliseconds unreachedHold {};
    std::int64_t claimWindowMilliseconds = 900'000;
};

// Whether and how far a partition's owner may act at the moment.
enum class OwnershipState {
    // The store confirms the ownership.
    Held,
    // The store answers nobody in the data centre: what is already assigned goes on.
    StoreOutage,
    // Others may take over: nothing is started, no lease is renewed.
    CutOff,
};

[[nodiscard]] std::string_view nameOf(OwnershipState standing);

// A claim's fate as the keeper of the key's home partition sees it.
struct ClaimDecision
{
    enum class Kind {
        // The caller may hand the request over, once.
        Run,
        // The recorded outcome answers the request.
        Recorded,
        // The key was claimed and its outcome is not known, or not yet.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    KeyOutcomeRecorded recorded;
};

// Owns one partition for one tenure: keeps its tasks, its keys and the workers of its group. Every start is durable as
// an assignment to one worker before it is sent, and an attempt is replaced only after its end is certain.
class PartitionController final : private WorkerMonitor::Listener
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;
    // Called once when another instance has taken the partition over.
    using DeposedHandler = std::function<void()>;

    PartitionController(KeeperContext context, KeeperTenure tenure, DeposedHandler deposed);
    ~PartitionController() override;

    // Reads the partition's state back and fences its predecessor.
    void start();

    // Makes the group of workers match the list; the keeper drives only these.
    void setWorkers(const std::vector<WorkerDescription> &workers);

    // Sends what is due: heartbeats, starts, stops. Call it several times a second.
    void tick(OwnershipState standing);

    // Accepts a task; the handler hears success only once it is durable. The same task twice is accepted once.
    void submit(TaskAccepted task, Handler<TaskEntry> handler);

    // Asks for a task's cancellation; the handler hears when the request is durable.
    void cancel(const std::string &task, Handler<TaskEntry> handler);

    // Claims a key for a request that may run at most once.
    void claim(KeyClaimed claim, Handler<ClaimDecision> handler);

    // Records the outcome of a claimed request.
    void recordOutcome(KeyOutcomeRecorded outcome, Handler<std::monostate> handler);

    // Begins to hand a waiting task to another partition.
    void startMove(const std::string &task, const std::string &target);
    void endMove(const std::string &task, bool accepted);

    // Stops a running task with a checkpoint so that it can resume elsewhere.
    void evict(const std::string &task, const std::string &why);

    // Limits a running task to a percentage of its speed; one hundred lifts the limit.
    void throttle(const std::string &task, int percent);

    // Returns the tasks that run on a worker and may run more than once, with the profile of each.
    [[nodiscard]] std::map<std::string, std::string> repeatableTasksOn(const std::string &worker) const;

    // Stops starting work, waits for the log to settle, then calls the handler.
    void handOver(std::function<void()> handler);

    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const TaskTable &table() const;

    // The workers of this partition with what is reserved on them.
    [[nodiscard]] Fleet &fleet();
    [[nodiscard]] const Fleet &fleet() const;
    [[nodiscard]] const KeeperTenure &term() const;
    [[nodiscard]] std::vector<std::string> workers() const;
    [[nodiscard]] Milliseconds logStalledFor() const;

    // Returns what the tasks of each team hold in this partition.
    [[nodiscard]] const std::map<std::string, Resources> &teamUse() const;

    // Says in words why a task is where it is.
    [[nodiscard]] std::string explain(const std::string &task) const;

private:
    // What this tenure has done about an assigned attempt.
    enum class AttemptState {
        // Assigned by a predecessor; its worker has not reported yet.
        Unverified,
        // Not sent yet.
        Ready,
        Starting,
        // The start was sent and its answer lost: it is sent again until the answer is definite.
        StartUncertain,
        Running,
        Stopping,
    };

    struct Attempt
    {
        AttemptState state = AttemptState::Unverified;
        bool stopWanted = false;
        int percent = 100;
        std::string stopReason;
        Instant nextTry;
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
    void commit(const std::string &subject, std::vector<ShardRecord> records, std::function<void(const Status &)> done);
    void applyDurable(const std::vector<ShardRecord> &records);
    ReportProcessing reconcile(const std::string &worker, const TaskReport &report);
    void evictAllFrom(const std::string &worker);
    void reconcileMissing(const std::string &worker, const WorkerReport &report);
    void recordEnd(const TaskEntry &entry, const TaskReport &report);
    void releaseAttempt(
        const TaskEntry &entry, ReleaseReason reason, const std::string &checkpoint, const std::string &why);
    void finishTask(const TaskEntry &entry, TaskPhase phase, const std::string &result);
    void driveAttempts();
    void driveAttempt(const TaskEntry &entry, Attempt &attempt);
    void sendStart(const TaskEntry &entry, Attempt &attempt);
    void onStartAnswer(const std::string &task, std::uint64_t number, const Status &status);
    void sendStop(const TaskEntry &entry, Attempt &attempt);
    void onStopAnswer(const std::string &task, std::uint64_t number, const Result<StopAnswer> &result);
    void assignWaiting();
    bool assign(const TaskEntry &entry);
    [[nodiscard]] std::vector<const TaskEntry *> waitingTasks() const;
    [[nodiscard]] bool mayStart(const TaskEntry &entry) const;
    [[nodiscard]] bool isWithinQuota(const TaskEntry &entry) const;
    void countTeams();
    [[nodiscard]] Attempt *findAttempt(const std::string &task, std::uint64_t number);
    [[nodiscard]] static std::string holderOf(const std::string &task);
    void trace(const std::string &kind, const TaskEntry &entry, const std::string &detail);
    void progressHandOver();
    void startBackoff(const TaskEntry &entry);

    KeeperContext m_context;
    KeeperTenure m_tenure;
    DeposedHandler m_deposed;
    ShardLog m_log;
    WorkerMonitor m_monitor;
    TaskTable m_table;
    std::map<std::string, Attempt> m_attempts;
    // The tasks whose attempts need attention at the next tick.
    std::set<std::string> m_unsettled;
    std::map<std::string, Instant> m_notBefore;
    // Tasks and keys with a record on its way to the store; nothing else is decided about them meanwhile.
    std::set<std::string> m_pending;
    std::set<std::string> m_claimsHere;
    Fleet m_fleet;
    std::map<std::string, WorkerDescription> m_workers;
    std::map<std::string, std::string> m_incarnations;
    std::map<std::string, Resources> m_teamUse;
    Instant m_countTeamsAt;
    std::map<std::string, int> m_workerFailures;
    std::map<std::string, Instant> m_quarantinedUntil;
    OwnershipState m_standing = OwnershipState::Held;
    bool m_ready = false;
    bool m_handingOver = false;
    std::optional<PendingHandOver> m_handOver;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
