#include "jobs/PartitionController.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds HandOverLimit {2'000};
constexpr std::size_t MaximumClaims = 50'000;
constexpr Milliseconds CountTeamsPeriod {500};
constexpr Milliseconds StallRefusal {1'000};

Error notReady()
{
    return {ErrorKind::Unavailable, "the partition is being taken over", "send the call again in a moment"};
}

Error storeStalled()
{
    return {ErrorKind::StoreUnavailable, "the platform's store does not answer, nothing new can be made durable",
        "send the call again when the store is back"};
}

}

std::string_view nameOf(OwnershipState standing)
{
    switch (standing) {
    case OwnershipState::Held:
        return "held";
    case OwnershipState::StoreOutage:
        return "store-outage";
    case OwnershipState::CutOff:
        break;
    }
    return "cut-off";
}

PartitionController::PartitionController(KeeperContext context, KeeperTenure tenure, DeposedHandler deposed)
    : m_context(context)
    , m_tenure(std::move(tenure))
    , m_deposed(std::move(deposed))
    , m_log(context.store, context.scheduler, context.clock, m_tenure.partition, {m_tenure.instance, m_tenure.token})
    , m_monitor(context.control, context.clock, *this, m_tenure.limits, m_tenure.instance, m_tenure.token)
{
}

PartitionController::~PartitionController()
{
    *m_alive = false;
}

void PartitionController::start()
{
    m_log.recover([this](Result<TaskTable> result) { onRecovered(std::move(result)); }, m_deposed);
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
            m_unsettled.insert(name);
        }
    }
    m_ready = true;
    // Leases may have run out while the log was still being read.
    for (const std::string &worker : workers()) {
        if (m_monitor.isLost(worker)) {
            onWorkerLost(worker);
        }
    }
    m_context.timeline.record({.kind = "partition.recovered",
        .detail = m_tenure.partition.text() + " token " + std::to_string(m_tenure.token) + " tasks "
            + std::to_string(m_table.tasks().size())});
}

void PartitionController::setWorkers(const std::vector<WorkerDescription> &workers)
{
    std::set<std::string> wanted;
    const Instant unreachedUntil = m_context.clock.now() + m_tenure.unreachedHold;
    for (const WorkerDescription &worker : workers) {
        wanted.insert(worker.name);
        const bool isNew = !m_workers.contains(worker.name);
        m_workers[worker.name] = worker;
        m_fleet.upsert(worker, m_tenure.token);
        m_monitor.add(worker.name, worker.address, unreachedUntil);
        const FleetWorker *present = m_fleet.find(worker.name);
        if (worker.leaving && (isNew || present->admission != WorkerAdmission::Leaving)) {
            m_fleet.setAdmission(worker.name, WorkerAdmission::Leaving);
            m_context.timeline.record({.kind = "worker.leaving", .worker = worker.name});
        }
    }
    // A worker that left the list stays known while the log still assigns work to it.
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
    // The log may assign work to a worker that the list no longer shows; its leases still have to run out.
    for (const std::string &name : wanted) {
        if (!m_workers.contains(name)) {
            m_workers[name].name = name;
            m_fleet.upsert(m_workers[name], m_tenure.token);
            m_monitor.add(name, "", unreachedUntil);
        }
    }
}

void PartitionController::tick(OwnershipState standing)
{
    m_standing = standing;
    progressHandOver();
    if (standing == OwnershipState::CutOff || m_handingOver) {
        return;
    }
    m_monitor.tick();
    if (!m_ready) {
        return;
    }
    driveAttempts();
    if (m_context.clock.now() >= m_countTeamsAt) {
        m_countTeamsAt = m_context.clock.now() + CountTeamsPeriod;
        countTeams();
    }
    if (standing == OwnershipState::Held) {
        assignWaiting();
        m_log.compact(m_table, m_context.clock.wallMilliseconds() - 2 * m_tenure.claimWindowMilliseconds);
    }
}

void PartitionController::commit(
    const std::string &subject, std::vector<ShardRecord> records, std::function<void(const Status &)> done)
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

void PartitionController::applyDurable(const std::vector<ShardRecord> &records)
{
    for (const ShardRecord &record : records) {
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
    if (m_log.stalledFor() > StallRefusal || m_standing != OwnershipState::Held) {
        handler(storeStalled());
        return;
    }
    if (m_pending.contains(name)) {
        // The same task is on its way to the log; the caller asks again and then finds it.
        handler(Error {ErrorKind::Unavailable, "the task is being accepted", "send the call again in a moment"});
        return;
    }
    commit(name, {std::move(task)}, [this, name, handler = std::move(handler)](const Status &status) {
        if (const Error *error = errorOf(status)) {
            handler(*error);
            return;
        }
        const TaskEntry *entry = m_table.find(name);
        trace("task.accepted", *entry, entry->specification.profile);
        handler(*entry);
    });
}

void PartitionController::cancel(const std::string &task, Handler<TaskEntry> handler)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry == nullptr) {
        handler(m_ready ? Error {ErrorKind::NotFound, "no task " + task, "list the tasks"} : notReady());
        return;
    }
    if (isFinal(entry->phase) || entry->cancelRequested) {
        handler(*entry);
        return;
    }
    if (entry->phase == TaskPhase::Moving) {
        handler(
            Error {ErrorKind::Unavailable, "the task is moving to " + entry->movedTo, "send the call again shortly"});
        return;
    }
    if (m_log.stalledFor() > StallRefusal || m_standing != OwnershipState::Held) {
        handler(storeStalled());
        return;
    }
    // A cancellation may overtake another record of the task; the table settles them in log order.
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
            m_unsettled.insert(task);
            const TaskEntry *present = m_table.find(task);
            trace("task.cancel-requested", *present, "");
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
        handler(Error {ErrorKind::Conflict, "the key was used for another request", "use a new key for a new request"});
        return;
    }
    if (present != nullptr) {
        using Kind = ClaimDecision::Kind;
        handler(ClaimDecision {present->settled ? Kind::Recorded : Kind::Unknown, present->answer});
        return;
    }
    if (m_pending.contains(claim.key)) {
        handler(ClaimDecision {ClaimDecision::Kind::Unknown, {}});
        return;
    }
    if (m_log.stalledFor() > StallRefusal || m_standing != OwnershipState::Held) {
        handler(storeStalled());
        return;
    }
    if (m_table.claimCount() >= MaximumClaims) {
        m_table.forgetClaims(m_context.clock.wallMilliseconds() - 2 * m_tenure.claimWindowMilliseconds);
    }
    if (m_table.claimCount() >= MaximumClaims) {
        handler(Error {ErrorKind::Overloaded, "too many keys are in use", "send the request again later"});
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
        trace("task.moving", *entry, target);
        commit(task, {TaskMoveStarted {task, target}}, {});
    }
}

void PartitionController::endMove(const std::string &task, bool accepted)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry != nullptr && entry->phase == TaskPhase::Moving && !m_pending.contains(task)) {
        trace(accepted ? "task.moved" : "task.move-refused", *entry, entry->movedTo);
        commit(task, {TaskMoveEnded {task, accepted}}, {});
    }
}

void PartitionController::evict(const std::string &task, const std::string &why)
{
    const auto found = m_attempts.find(task);
    if (found != m_attempts.end() && !found->second.stopWanted) {
        found->second.stopWanted = true;
        found->second.stopReason = why;
        m_unsettled.insert(task);
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
    trace("task.throttled", *entry, "to " + std::to_string(percent) + " %");
    m_context.control.throttle(
        m_workers.at(entry->worker).address, m_tenure.token, {task, entry->attempt}, percent, [](const Status &) {});
}

std::map<std::string, std::string> PartitionController::repeatableTasksOn(const std::string &worker) const
{
    std::map<std::string, std::string> tasks;
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        const bool here = entry != nullptr && entry->worker == worker && attempt.state == AttemptState::Running;
        if (here && !attempt.stopWanted && entry->specification.repeatability == Repeatability::Idempotent
            && entry->specification.profileClass == ProfileClass::Batch) {
            tasks[task] = entry->specification.profile;
        }
    }
    return tasks;
}

void PartitionController::handOver(std::function<void()> handler)
{
    m_handingOver = true;
    m_handOver = PendingHandOver {std::move(handler), m_context.clock.now() + HandOverLimit};
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

void PartitionController::trace(const std::string &kind, const TaskEntry &entry, const std::string &detail)
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

const KeeperTenure &PartitionController::term() const
{
    return m_tenure;
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
        return "no such task";
    }
    if (entry->phase == TaskPhase::Assigned) {
        const auto attempt = m_attempts.find(task);
        if (attempt != m_attempts.end() && attempt->second.percent < 100) {
            return "runs on " + entry->worker + ", throttled to " + std::to_string(attempt->second.percent)
                + " % because it slowed urgent work down there";
        }
        const bool unverified = attempt != m_attempts.end() && attempt->second.state == AttemptState::Unverified;
        return unverified
            ? "assigned to " + entry->worker + ", which its new owner has not reached yet"
            : "assigned to " + entry->worker + ", which had the best score of room, spread and interference";
    }
    if (entry->phase != TaskPhase::Waiting) {
        return std::string(nameOf(entry->phase)) + (entry->result.empty() ? "" : ": " + entry->result);
    }
    if (m_standing != OwnershipState::Held) {
        return "waits: new assignments need the store, which does not answer";
    }
    if (!isWithinQuota(*entry)) {
        return "waits: team " + entry->specification.team + " holds its quota";
    }
    const Demand demand = demandOf(entry->specification);
    bool everFits = false;
    for (const auto &[name, description] : m_workers) {
        everFits = everFits || demand.resources.fitsInto(description.capacity);
    }
    return everFits ? "waits: no open worker of partition " + m_tenure.partition.text() + " has room now"
                    : "waits: no worker of partition " + m_tenure.partition.text() + " is large enough";
}

}
