#include "jobs/PartitionController.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds HandOverTimeout {2'000};
constexpr std::size_t MaximumClaims = 50'000;
constexpr Milliseconds TeamUsageRecountPeriod {500};
constexpr Milliseconds MaximumLogStall {1'000};

Error notReady()
{
    return {ErrorKind::Unavailable, "the partition is being taken over", "retry in a moment"};
}

Error storeUnavailable()
{
    return {ErrorKind::StoreUnavailable, "the store does not answer, so nothing new can be made durable",
        "retry when the store answers again"};
}

}

std::string_view nameOf(OwnershipState ownershipState)
{
    switch (ownershipState) {
    case OwnershipState::Held:
        return "held";
    case OwnershipState::StoreOutage:
        return "store-outage";
    case OwnershipState::CutOff:
        break;
    }
    return "cut-off";
}

PartitionController::PartitionController(PartitionContext context, LeaderTerm term, OwnershipLostHandler ownershipLost)
    : m_context(context)
    , m_term(std::move(term))
    , m_ownershipLostHandler(std::move(ownershipLost))
    , m_log(context.store, context.scheduler, context.clock, m_term.partition, {m_term.instance, m_term.token})
    , m_monitor(context.control, context.clock, *this, m_term.limits, m_term.instance, m_term.token)
{
}

PartitionController::~PartitionController()
{
    *m_alive = false;
}

void PartitionController::start()
{
    m_log.recover([this](Result<TaskTable> result) { onRecovered(std::move(result)); }, m_ownershipLostHandler);
}

void PartitionController::onRecovered(Result<TaskTable> result)
{
    if (const Error *error = errorOf(result)) {
        m_context.timeline.record({.kind = "partition.unreadable", .detail = error->detail});
        return;
    }
    m_table = std::move(std::get<TaskTable>(result));
    for (const auto &[name, entry] : m_table.tasks()) {
        if (entry.phase == TaskPhase::Assigned) {
            m_attempts[name] = Attempt();
            m_attemptsToDrive.insert(name);
        }
    }
    m_ready = true;
    // A worker's lease may have expired before the log was read, when onWorkerLost() had no attempts to release yet.
    for (const std::string &worker : workers()) {
        if (m_monitor.isLost(worker)) {
            onWorkerLost(worker);
        }
    }
    m_context.timeline.record({.kind = "partition.recovered",
        .detail = m_term.partition.text() + " token " + std::to_string(m_term.token) + " tasks "
            + std::to_string(m_table.tasks().size())});
}

void PartitionController::setWorkers(const std::vector<WorkerDescription> &workers)
{
    std::set<std::string> wanted;
    const Instant unreachedUntil = m_context.clock.now() + m_term.unreachedHold;
    for (const WorkerDescription &worker : workers) {
        wanted.insert(worker.name);
        const bool isNew = !m_workers.contains(worker.name);
        m_workers[worker.name] = worker;
        m_fleet.upsert(worker, m_term.token);
        m_monitor.add(worker.name, worker.address, unreachedUntil);
        const FleetWorker *present = m_fleet.find(worker.name);
        if (worker.leaving && (isNew || present->admission != WorkerAdmission::Leaving)) {
            m_fleet.setAdmission(worker.name, WorkerAdmission::Leaving);
            m_context.timeline.record({.kind = "worker.leaving", .worker = worker.name});
        }
    }
    // A worker that was removed from the list stays as long as the log assigns a task to it.
    for (const auto &[name, entry] : m_table.tasks()) {
        if (entry.phase == TaskPhase::Assigned) {
            wanted.insert(entry.worker);
        }
    }
    std::erase_if(m_workers, [&](const auto &item) {
        const bool gone = !wanted.contains(item.first);
        if (gone) {
            m_monitor.remove(item.first);
            m_fleet.remove(item.first);
        }
        return gone;
    });
    if (!m_ready) {
        return;
    }
    // The log may assign a task to a worker that the list no longer contains; its lease still has to expire.
    for (const std::string &name : wanted) {
        if (!m_workers.contains(name)) {
            m_workers[name].name = name;
            m_fleet.upsert(m_workers[name], m_term.token);
            m_monitor.add(name, "", unreachedUntil);
        }
    }
}

void PartitionController::tick(OwnershipState ownershipState)
{
    m_ownershipState = ownershipState;
    progressHandOver();
    if (ownershipState == OwnershipState::CutOff || m_handingOver) {
        return;
    }
    m_monitor.tick();
    if (!m_ready) {
        return;
    }
    driveAttempts();
    if (m_context.clock.now() >= m_nextTeamUsageRecount) {
        m_nextTeamUsageRecount = m_context.clock.now() + TeamUsageRecountPeriod;
        recountTeamUsage();
    }
    if (ownershipState == OwnershipState::Held) {
        assignWaitingTasks();
        m_log.compact(m_table, m_context.clock.wallMilliseconds() - 2 * m_term.claimWindowMilliseconds);
    }
}

void PartitionController::commit(
    const std::string &subject, std::vector<PartitionLogRecord> records, std::function<void(const Status &)> done)
{
    m_pending.insert(subject);
    m_log.append(records, [this, alive = m_alive, subject, records, done = std::move(done)](const Status &status) {
        if (!*alive) {
            return;
        }
        m_pending.erase(subject);
        if (errorOf(status) == nullptr) {
            applyDurable(records);
        }
        if (done) {
            done(status);
        }
    });
}

void PartitionController::applyDurable(const std::vector<PartitionLogRecord> &records)
{
    for (const PartitionLogRecord &record : records) {
        m_table.apply(record);
    }
}

void PartitionController::submit(TaskAccepted task, Handler<TaskEntry> handler)
{
    const std::string name = task.specification.task;
    const TaskEntry *present = m_table.find(name);
    if (present != nullptr && !m_table.isNew(task)) {
        handler(*present);
        return;
    }
    if (!m_ready || m_handingOver) {
        handler(notReady());
        return;
    }
    if (m_log.stalledFor() > MaximumLogStall || m_ownershipState != OwnershipState::Held) {
        handler(storeUnavailable());
        return;
    }
    if (m_pending.contains(name)) {
        // An earlier submission of the task is not durable yet; the retry finds its entry.
        handler(Error {ErrorKind::Unavailable, "task " + name + " is being accepted", "retry in a moment"});
        return;
    }
    commit(name, {std::move(task)}, [this, name, handler = std::move(handler)](const Status &status) {
        if (const Error *error = errorOf(status)) {
            handler(*error);
            return;
        }
        const TaskEntry *entry = m_table.find(name);
        recordEvent("task.accepted", *entry, entry->specification.profile);
        handler(*entry);
    });
}

void PartitionController::cancel(const std::string &task, Handler<TaskEntry> handler)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry == nullptr) {
        handler(
            m_ready ? Error {ErrorKind::NotFound, "task " + task + " does not exist", "list the tasks"} : notReady());
        return;
    }
    if (isFinal(entry->phase) || entry->cancelRequested) {
        handler(*entry);
        return;
    }
    if (entry->phase == TaskPhase::Moving) {
        handler(Error {
            ErrorKind::Unavailable, "task " + task + " is moving to partition " + entry->movedTo, "retry in a moment"});
        return;
    }
    if (m_log.stalledFor() > MaximumLogStall || m_ownershipState != OwnershipState::Held) {
        handler(storeUnavailable());
        return;
    }
    // Unlike other records, a cancellation does not wait for a pending record of the task: TaskTable applies both in
    // log order.
    m_log.append({TaskCancelRequested {task}},
        [this, alive = m_alive, task, handler = std::move(handler)](const Status &status) {
            if (!*alive) {
                handler(notReady());
                return;
            }
            if (const Error *error = errorOf(status)) {
                handler(*error);
                return;
            }
            applyDurable({TaskCancelRequested {task}});
            m_attemptsToDrive.insert(task);
            const TaskEntry *present = m_table.find(task);
            recordEvent("task.cancel-requested", *present, "");
            handler(*present);
        });
}

void PartitionController::claim(KeyClaimed claim, Handler<ClaimDecision> handler)
{
    if (!m_ready || m_handingOver) {
        handler(notReady());
        return;
    }
    const ClaimEntry *present = m_table.findClaim(claim.key);
    if (present != nullptr && present->digest != claim.digest) {
        handler(Error {ErrorKind::Conflict, "the idempotency key was used for another request",
            "use a new key for a new request"});
        return;
    }
    if (present != nullptr) {
        using Kind = ClaimDecision::Kind;
        handler(ClaimDecision {present->hasOutcome ? Kind::Recorded : Kind::Unknown, present->answer});
        return;
    }
    if (m_pending.contains(claim.key)) {
        handler(ClaimDecision {ClaimDecision::Kind::Unknown, {}});
        return;
    }
    if (m_log.stalledFor() > MaximumLogStall || m_ownershipState != OwnershipState::Held) {
        handler(storeUnavailable());
        return;
    }
    if (m_table.claimCount() >= MaximumClaims) {
        m_table.forgetClaims(m_context.clock.wallMilliseconds() - 2 * m_term.claimWindowMilliseconds);
    }
    if (m_table.claimCount() >= MaximumClaims) {
        handler(
            Error {ErrorKind::Overloaded, "the partition holds the maximum number of idempotency keys", "retry later"});
        return;
    }
    const std::string key = claim.key;
    commit(key, {std::move(claim)}, [handler = std::move(handler)](const Status &status) {
        if (const Error *error = errorOf(status)) {
            handler(*error);
            return;
        }
        handler(ClaimDecision {ClaimDecision::Kind::Run, {}});
    });
}

void PartitionController::recordOutcome(KeyOutcomeRecorded outcome, Handler<std::monostate> handler)
{
    const std::string key = outcome.key;
    commit(key, {std::move(outcome)}, std::move(handler));
}

void PartitionController::startMove(const std::string &task, const std::string &target)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry != nullptr && entry->phase == TaskPhase::Waiting && !m_pending.contains(task)) {
        recordEvent("task.moving", *entry, target);
        commit(task, {TaskMoveStarted {task, target}}, {});
    }
}

void PartitionController::endMove(const std::string &task, bool accepted)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry != nullptr && entry->phase == TaskPhase::Moving && !m_pending.contains(task)) {
        recordEvent(accepted ? "task.moved" : "task.move-refused", *entry, entry->movedTo);
        commit(task, {TaskMoveEnded {task, accepted}}, {});
    }
}

void PartitionController::evict(const std::string &task, const std::string &reason)
{
    const auto found = m_attempts.find(task);
    if (found != m_attempts.end() && !found->second.stopRequested) {
        found->second.stopRequested = true;
        found->second.stopReason = reason;
        m_attemptsToDrive.insert(task);
    }
}

void PartitionController::throttle(const std::string &task, int percent)
{
    const TaskEntry *entry = m_table.find(task);
    const auto found = m_attempts.find(task);
    const bool running = entry != nullptr && found != m_attempts.end() && m_workers.contains(entry->worker)
        && found->second.state == AttemptState::Running;
    if (!running || found->second.percent == percent) {
        return;
    }
    found->second.percent = percent;
    recordEvent("task.throttled", *entry, "to " + std::to_string(percent) + " %");
    m_context.control.throttle(
        m_workers.at(entry->worker).address, m_term.token, {task, entry->attempt}, percent, [](const Status &) {});
}

std::map<std::string, std::string> PartitionController::repeatableTasksOn(const std::string &worker) const
{
    std::map<std::string, std::string> tasks;
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        const bool here = entry != nullptr && entry->worker == worker && attempt.state == AttemptState::Running;
        if (here && !attempt.stopRequested && entry->specification.repeatability == Repeatability::Idempotent
            && entry->specification.profileClass == ProfileClass::Batch) {
            tasks[task] = entry->specification.profile;
        }
    }
    return tasks;
}

void PartitionController::handOver(std::function<void()> handler)
{
    m_handingOver = true;
    m_handOver = PendingHandOver {std::move(handler), m_context.clock.now() + HandOverTimeout};
}

void PartitionController::progressHandOver()
{
    if (!m_handOver) {
        return;
    }
    const bool starting
        = std::ranges::any_of(m_attempts, [](const auto &item) { return item.second.state == AttemptState::Starting; });
    if ((m_log.isIdle() && !starting) || m_context.clock.now() >= m_handOver->deadline) {
        const auto handler = std::move(m_handOver->handler);
        m_handOver.reset();
        handler();
    }
}

std::string PartitionController::holderOf(const std::string &task)
{
    return "task:" + task;
}

void PartitionController::recordEvent(const std::string &kind, const TaskEntry &entry, const std::string &detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.task = entry.specification.task;
    event.worker = entry.worker;
    event.detail = "attempt " + std::to_string(entry.attempt) + (detail.empty() ? "" : ", " + detail);
    m_context.timeline.record(std::move(event));
}

bool PartitionController::isReady() const
{
    return m_ready && !m_handingOver;
}

const TaskTable &PartitionController::table() const
{
    return m_table;
}

Fleet &PartitionController::fleet()
{
    return m_fleet;
}

const Fleet &PartitionController::fleet() const
{
    return m_fleet;
}

const LeaderTerm &PartitionController::term() const
{
    return m_term;
}

std::vector<std::string> PartitionController::workers() const
{
    std::vector<std::string> names;
    for (const auto &[name, description] : m_workers) {
        names.push_back(name);
    }
    return names;
}

Milliseconds PartitionController::logStalledFor() const
{
    return m_log.stalledFor();
}

std::string PartitionController::explain(const std::string &task) const
{
    const TaskEntry *entry = m_table.find(task);
    if (entry == nullptr) {
        return "the task does not exist";
    }
    if (entry->phase == TaskPhase::Assigned) {
        const auto attempt = m_attempts.find(task);
        if (attempt != m_attempts.end() && attempt->second.percent < 100) {
            return "runs on " + entry->worker + ", throttled to " + std::to_string(attempt->second.percent)
                + " % because it slowed latency-critical work on that worker";
        }
        const bool unverified = attempt != m_attempts.end() && attempt->second.state == AttemptState::Unverified;
        return unverified
            ? "assigned to " + entry->worker + ", which the new owner of the partition has not reached yet"
            : "assigned to " + entry->worker
                + ", which had the best placement score (free capacity, rack spread, interference)";
    }
    if (entry->phase != TaskPhase::Waiting) {
        return std::string(nameOf(entry->phase)) + (entry->result.empty() ? "" : ": " + entry->result);
    }
    if (m_ownershipState != OwnershipState::Held) {
        return "waits: the store does not answer, so no assignment can be made durable";
    }
    if (!isWithinQuota(*entry)) {
        return "waits: team " + entry->specification.team + " has used its quota";
    }
    const Demand demand = demandOf(entry->specification);
    bool everFits = false;
    for (const auto &[name, description] : m_workers) {
        everFits = everFits || demand.resources.fitsInto(description.capacity);
    }
    return everFits ? "waits: no open worker of partition " + m_term.partition.text() + " has enough free capacity"
                    : "waits: no worker of partition " + m_term.partition.text() + " is large enough";
}

}
