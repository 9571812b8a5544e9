#include "jobs/PartitionKeeper.h"

#include <algorithm>
#include <utility>

namespace Wagtail
{

namespace
{

constexpr Milliseconds StartRetry {300};
constexpr Milliseconds FirstBackoff {500};
constexpr Milliseconds LongestBackoff {60'000};
constexpr Milliseconds HandOverLimit {2'000};
constexpr Milliseconds QuarantineTime {30'000};
constexpr int FailuresForQuarantine = 3;
constexpr std::size_t MaximumClaims = 50'000;
constexpr std::size_t AssignmentsPerTick = 64;
constexpr Milliseconds CountTeamsPeriod {500};
constexpr Milliseconds StallRefusal {1'000};

Demand demandOf(const TaskSpecification &specification)
{
    return {specification.resources, 0, specification.profile};
}

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

std::string_view nameOf(Standing standing)
{
    switch (standing) {
    case Standing::Held:
        return "held";
    case Standing::StoreOutage:
        return "store-outage";
    case Standing::CutOff:
        break;
    }
    return "cut-off";
}

PartitionKeeper::PartitionKeeper(KeeperContext context, KeeperTenure tenure, DeposedHandler deposed)
    : m_context(context)
    , m_tenure(std::move(tenure))
    , m_deposed(std::move(deposed))
    , m_log(context.store, context.scheduler, context.clock, m_tenure.partition, {m_tenure.instance, m_tenure.token})
    , m_monitor(context.control, context.clock, *this, m_tenure.limits, m_tenure.instance, m_tenure.token)
{
}

PartitionKeeper::~PartitionKeeper()
{
    *m_alive = false;
}

void PartitionKeeper::start()
{
    m_log.recover([this](Result<TaskTable> result) { onRecovered(std::move(result)); }, m_deposed);
}

void PartitionKeeper::onRecovered(Result<TaskTable> result)
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
    m_context.timeline.record({.kind = "partition.recovered",
        .detail = m_tenure.partition.text() + " token " + std::to_string(m_tenure.token) + " tasks "
            + std::to_string(m_table.tasks().size())});
}

void PartitionKeeper::setWorkers(const std::vector<WorkerDescription> &workers)
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
            m_fleet.admit(worker.name, WorkerAdmission::Leaving);
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

void PartitionKeeper::tick(Standing standing)
{
    m_standing = standing;
    progressHandOver();
    if (standing == Standing::CutOff || m_handingOver) {
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
    if (standing == Standing::Held) {
        assignWaiting();
        m_log.compact(m_table, m_context.clock.wallMilliseconds() - 2 * m_tenure.claimWindowMilliseconds);
    }
}

void PartitionKeeper::commit(
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

void PartitionKeeper::applyDurable(const std::vector<ShardRecord> &records)
{
    for (const ShardRecord &record : records) {
        m_table.apply(record);
    }
}

void PartitionKeeper::submit(TaskAccepted task, Handler<TaskEntry> handler)
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
    if (m_log.stalledFor() > StallRefusal || m_standing != Standing::Held) {
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

void PartitionKeeper::cancel(const std::string &task, Handler<TaskEntry> handler)
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
    if (m_log.stalledFor() > StallRefusal || m_standing != Standing::Held) {
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

void PartitionKeeper::claim(KeyClaimed claim, Handler<ClaimDecision> handler)
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
    if (m_log.stalledFor() > StallRefusal || m_standing != Standing::Held) {
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

void PartitionKeeper::settle(KeySettled outcome, Handler<std::monostate> handler)
{
    const std::string key = outcome.key;
    commit(key, {std::move(outcome)}, std::move(handler));
}

void PartitionKeeper::startMove(const std::string &task, const std::string &target)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry != nullptr && entry->phase == TaskPhase::Waiting && !m_pending.contains(task)) {
        trace("task.moving", *entry, target);
        commit(task, {TaskMoveStarted {task, target}}, {});
    }
}

void PartitionKeeper::endMove(const std::string &task, bool accepted)
{
    const TaskEntry *entry = m_table.find(task);
    if (entry != nullptr && entry->phase == TaskPhase::Moving && !m_pending.contains(task)) {
        trace(accepted ? "task.moved" : "task.move-refused", *entry, entry->movedTo);
        commit(task, {TaskMoveEnded {task, accepted}}, {});
    }
}

void PartitionKeeper::evict(const std::string &task, const std::string &why)
{
    const auto found = m_attempts.find(task);
    if (found != m_attempts.end() && !found->second.stopWanted) {
        found->second.stopWanted = true;
        found->second.stopReason = why;
        m_unsettled.insert(task);
    }
}

void PartitionKeeper::throttle(const std::string &task, int percent)
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

std::map<std::string, std::string> PartitionKeeper::repeatableOn(const std::string &worker) const
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

void PartitionKeeper::confirmLost(const std::string &worker)
{
    m_context.timeline.record({.kind = "worker.confirmed-lost", .worker = worker});
    m_fleet.admit(worker, WorkerAdmission::Silent);
    onWorkerLost(worker);
}

void PartitionKeeper::handOver(std::function<void()> handler)
{
    m_handingOver = true;
    m_handOver = PendingHandOver {std::move(handler), m_context.clock.now() + HandOverLimit};
}

void PartitionKeeper::progressHandOver()
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

ReportUse PartitionKeeper::onWorkerReport(const std::string &worker, const WorkerReport &report, bool first)
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end()) {
        return ReportUse::Partial;
    }
    m_incarnations[worker] = report.incarnation;
    if (first) {
        m_fleet.resetForeignSlots(worker, report.busySlots - m_fleet.find(worker)->slotsInUse);
        m_context.timeline.record(
            {.kind = "worker.fenced", .worker = worker, .detail = std::to_string(m_tenure.token)});
    } else {
        m_fleet.limitForeignSlots(worker, report.busySlots);
    }
    if (!m_ready) {
        return ReportUse::Partial;
    }
    ReportUse use = ReportUse::Whole;
    if (!report.unchanged) {
        for (const TaskReport &task : report.tasks) {
            use = reconcile(worker, task) == ReportUse::Whole ? use : ReportUse::Partial;
        }
    }
    reconcileMissing(worker, report);
    const auto quarantine = m_quarantinedUntil.find(worker);
    const bool quarantined = quarantine != m_quarantinedUntil.end() && quarantine->second > m_context.clock.now();
    const bool leaving = report.leaving || known->second.leaving;
    const WorkerAdmission admission = leaving ? WorkerAdmission::Leaving
        : quarantined                         ? WorkerAdmission::Quarantined
                                              : WorkerAdmission::Open;
    if (m_monitor.holdsLease(worker) && m_fleet.find(worker)->admission != admission) {
        m_fleet.admit(worker, admission);
        m_context.timeline.record({.kind = "worker." + std::string(nameOf(admission)), .worker = worker});
    }
    if (admission == WorkerAdmission::Leaving) {
        evictAllFrom(worker);
    }
    return use;
}

void PartitionKeeper::evictAllFrom(const std::string &worker)
{
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        const bool mayRepeat = entry != nullptr && entry->specification.repeatability == Repeatability::Idempotent;
        if (mayRepeat && entry->worker == worker) {
            evict(task, "its worker is leaving");
        }
    }
}

// Returns whether nothing is left to be done about the task.
ReportUse PartitionKeeper::reconcile(const std::string &worker, const TaskReport &report)
{
    const TaskEntry *entry = m_table.find(report.attempt.task);
    const bool present = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->worker == worker
        && entry->attempt == report.attempt.attempt;
    if (!present) {
        const bool pending = m_pending.contains(report.attempt.task);
        if (report.state != WorkerTaskState::Running && !pending) {
            m_monitor.settle(worker, report.attempt);
        } else if (report.state == WorkerTaskState::Running && !pending) {
            // The log has moved past this attempt, so nothing may come of it any more.
            m_context.control.stop(
                m_workers.at(worker).address, m_tenure.token, report.attempt, [](const Result<StopAnswer> &) {});
        }
        return ReportUse::Partial;
    }
    Attempt &attempt = m_attempts[report.attempt.task];
    if (report.state != WorkerTaskState::Running) {
        recordEnd(*entry, report);
        return ReportUse::Partial;
    }
    if (attempt.state == AttemptState::Unverified || attempt.state == AttemptState::StartUncertain) {
        attempt.state = AttemptState::Running;
        m_fleet.recordRunning(worker, holderOf(report.attempt.task), demandOf(entry->specification));
    }
    return attempt.state == AttemptState::Running ? ReportUse::Whole : ReportUse::Partial;
}

void PartitionKeeper::reconcileMissing(const std::string &worker, const WorkerReport &report)
{
    std::set<std::string> reported;
    for (const TaskReport &task : report.tasks) {
        reported.insert(task.attempt.task);
    }
    // An unchanged list holds just the attempts that run, so only the unsettled ones can be missing from it.
    std::vector<std::string> candidates;
    for (const auto &[task, attempt] : m_attempts) {
        const bool listed = report.unchanged ? attempt.state == AttemptState::Running : reported.contains(task);
        if (!listed && (!report.unchanged || m_unsettled.contains(task))) {
            candidates.push_back(task);
        }
    }
    for (const std::string &task : candidates) {
        Attempt &attempt = m_attempts[task];
        const TaskEntry *entry = m_table.find(task);
        if (entry == nullptr || entry->worker != worker || m_pending.contains(task)) {
            continue;
        }
        const bool remembers = entry->incarnation == report.incarnation;
        if (attempt.state == AttemptState::Unverified && remembers) {
            // The worker is fenced and remembers everything since the assignment: the start never arrived.
            attempt.state = AttemptState::Ready;
        } else if (attempt.state == AttemptState::Ready && !remembers) {
            releaseAttempt(*entry, ReleaseReason::NotStarted, "", "its worker began anew before the start");
        } else if (attempt.state != AttemptState::Starting && !remembers) {
            releaseAttempt(*entry, ReleaseReason::Lost, "", "its worker began anew");
        }
    }
}

void PartitionKeeper::recordEnd(const TaskEntry &entry, const TaskReport &report)
{
    const std::string &task = entry.specification.task;
    if (m_pending.contains(task)) {
        return;
    }
    switch (report.state) {
    case WorkerTaskState::Done:
        m_workerFailures[entry.worker] = 0;
        finishTask(entry, TaskPhase::Done, report.result);
        break;
    case WorkerTaskState::Failed:
        releaseAttempt(entry, ReleaseReason::Failed, report.checkpoint, "it failed on " + entry.worker);
        break;
    case WorkerTaskState::Stopped:
        releaseAttempt(entry, ReleaseReason::Evicted, report.checkpoint, "it was stopped on " + entry.worker);
        break;
    case WorkerTaskState::Lapsed:
        releaseAttempt(entry, ReleaseReason::Lost, report.checkpoint, "its lease ran out on " + entry.worker);
        break;
    case WorkerTaskState::Absent:
    case WorkerTaskState::Running:
        break;
    }
}

void PartitionKeeper::finishTask(const TaskEntry &entry, TaskPhase phase, const std::string &result)
{
    const std::string task = entry.specification.task;
    const std::string worker = entry.worker;
    const TaskAttempt attempt {task, entry.attempt};
    commit(task, {TaskFinished {task, phase, result, m_context.clock.wallMilliseconds()}},
        [this, task, worker, attempt](const Status &status) {
            if (errorOf(status) != nullptr) {
                return;
            }
            m_attempts.erase(task);
            m_notBefore.erase(task);
            m_fleet.release(holderOf(task));
            m_monitor.settle(worker, attempt);
            const TaskEntry *finished = m_table.find(task);
            trace("task." + std::string(nameOf(finished->phase)), *finished, finished->result);
        });
}

void PartitionKeeper::releaseAttempt(
    const TaskEntry &entry, ReleaseReason reason, const std::string &checkpoint, const std::string &why)
{
    const std::string task = entry.specification.task;
    const bool lostWork = reason == ReleaseReason::Evicted && checkpoint.empty();
    const bool mayHaveRun = reason == ReleaseReason::Lost || reason == ReleaseReason::Failed || lostWork;
    const bool isWatcher = entry.specification.profileClass == ProfileClass::Watcher;
    if (entry.cancelRequested && reason != ReleaseReason::Lost) {
        finishTask(entry, TaskPhase::Cancelled, "cancelled");
        return;
    }
    if (mayHaveRun && entry.specification.repeatability == Repeatability::AtMostOnce) {
        finishTask(entry, reason == ReleaseReason::Failed ? TaskPhase::Failed : TaskPhase::Unknown, why);
        return;
    }
    if (reason == ReleaseReason::Failed && !isWatcher && entry.failures + 1 >= entry.specification.maximumAttempts) {
        finishTask(entry, TaskPhase::Failed, why);
        return;
    }
    const std::string worker = entry.worker;
    const TaskAttempt attempt {task, entry.attempt};
    if (reason == ReleaseReason::Failed && ++m_workerFailures[worker] >= FailuresForQuarantine) {
        m_quarantinedUntil[worker] = m_context.clock.now() + QuarantineTime;
        m_fleet.admit(worker, WorkerAdmission::Quarantined);
        m_context.timeline.record({.kind = "worker.quarantined", .worker = worker});
        m_workerFailures[worker] = 0;
    }
    commit(task, {TaskReleased {attempt, reason, checkpoint, why}},
        [this, task, worker, attempt, reason](const Status &status) {
            if (errorOf(status) != nullptr) {
                return;
            }
            m_attempts.erase(task);
            m_fleet.release(holderOf(task));
            m_monitor.settle(worker, attempt);
            const TaskEntry *released = m_table.find(task);
            if (reason == ReleaseReason::Failed) {
                startBackoff(*released);
            }
            trace("task.released", *released, std::string(nameOf(reason)) + ": " + released->reason);
        });
}

void PartitionKeeper::startBackoff(const TaskEntry &entry)
{
    const int doublings = std::min(entry.failures, 10);
    const Milliseconds delay = std::min(LongestBackoff, FirstBackoff * (1 << doublings));
    m_notBefore[entry.specification.task] = m_context.clock.now() + delay;
}

void PartitionKeeper::onWorkerSilent(const std::string &worker)
{
    const FleetWorker *present = m_fleet.find(worker);
    if (present != nullptr && present->admission == WorkerAdmission::Open) {
        m_fleet.admit(worker, WorkerAdmission::Silent);
        m_context.timeline.record({.kind = "worker.silent", .worker = worker});
    }
}

void PartitionKeeper::onWorkerLost(const std::string &worker)
{
    m_context.timeline.record({.kind = "worker.lost", .worker = worker});
    m_fleet.admit(worker, WorkerAdmission::Silent);
    for (const auto &[task, attempt] : std::map(m_attempts)) {
        const TaskEntry *entry = m_table.find(task);
        if (entry == nullptr || entry->worker != worker || m_pending.contains(task)) {
            continue;
        }
        const bool never = attempt.state == AttemptState::Ready;
        releaseAttempt(*entry, never ? ReleaseReason::NotStarted : ReleaseReason::Lost, "", "its worker was lost");
    }
}

void PartitionKeeper::onWorkerFencedAway(const std::string &worker)
{
    m_context.timeline.record({.kind = "worker.fenced-away", .worker = worker});
    m_fleet.admit(worker, WorkerAdmission::Silent);
}

void PartitionKeeper::driveAttempts()
{
    for (const std::string &task : std::set(m_unsettled)) {
        const TaskEntry *entry = m_table.find(task);
        const auto attempt = m_attempts.find(task);
        if (entry == nullptr || attempt == m_attempts.end() || entry->phase != TaskPhase::Assigned) {
            m_unsettled.erase(task);
            continue;
        }
        const bool stopWanted = attempt->second.stopWanted || entry->cancelRequested;
        if (attempt->second.state == AttemptState::Running && !stopWanted) {
            m_unsettled.erase(task);
        } else if (!m_pending.contains(task)) {
            driveAttempt(*entry, attempt->second);
        }
    }
    for (const TaskEntry *entry : waitingTasks()) {
        if (entry->cancelRequested && !m_pending.contains(entry->specification.task)) {
            finishTask(*entry, TaskPhase::Cancelled, "cancelled");
        }
    }
}

void PartitionKeeper::driveAttempt(const TaskEntry &entry, Attempt &attempt)
{
    const bool stopWanted = attempt.stopWanted || entry.cancelRequested;
    const Instant now = m_context.clock.now();
    switch (attempt.state) {
    case AttemptState::Unverified:
    case AttemptState::Starting:
    case AttemptState::Stopping:
        break;
    case AttemptState::Ready:
        if (stopWanted) {
            releaseAttempt(entry, ReleaseReason::NotStarted, "", "it was withdrawn before its start");
        } else if (now >= attempt.nextTry) {
            sendStart(entry, attempt);
        }
        break;
    case AttemptState::StartUncertain:
        if (now >= attempt.nextTry) {
            stopWanted ? sendStop(entry, attempt) : sendStart(entry, attempt);
        }
        break;
    case AttemptState::Running:
        if (stopWanted && now >= attempt.nextTry) {
            sendStop(entry, attempt);
        }
        break;
    }
}

void PartitionKeeper::sendStart(const TaskEntry &entry, Attempt &attempt)
{
    const std::string &task = entry.specification.task;
    if (!m_monitor.holdsLease(entry.worker) || !m_workers.contains(entry.worker)) {
        return;
    }
    const bool reserved = m_fleet.workerOf(holderOf(task)).has_value();
    const FleetWorker *worker = m_fleet.find(entry.worker);
    if (!reserved && (worker == nullptr || worker->admission != WorkerAdmission::Open)) {
        if (worker != nullptr && attempt.state == AttemptState::Ready && m_standing == Standing::Held) {
            attempt.stopWanted = true;
        }
        return;
    }
    if (!reserved && !m_fleet.reserve(entry.worker, holderOf(task), demandOf(entry.specification))) {
        return;
    }
    attempt.state = AttemptState::Starting;
    const std::uint64_t number = entry.attempt;
    TaskStart start {{task, number}, entry.incarnation, entry.specification.profile, entry.specification.resources,
        entry.specification.payload, entry.checkpoint};
    trace("task.starting", entry, "");
    m_context.control.start(m_workers.at(entry.worker).address, m_tenure.token, std::move(start),
        [this, alive = m_alive, task, number](const Status &status) {
            if (*alive) {
                onStartAnswer(task, number, status);
            }
        });
}

PartitionKeeper::Attempt *PartitionKeeper::findAttempt(const std::string &task, std::uint64_t number)
{
    const TaskEntry *entry = m_table.find(task);
    const auto found = m_attempts.find(task);
    const bool present = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->attempt == number
        && found != m_attempts.end();
    return present ? &found->second : nullptr;
}

void PartitionKeeper::onStartAnswer(const std::string &task, std::uint64_t number, const Status &status)
{
    Attempt *attempt = findAttempt(task, number);
    if (attempt == nullptr || attempt->state != AttemptState::Starting) {
        return;
    }
    const TaskEntry &entry = *m_table.find(task);
    const Error *error = errorOf(status);
    if (error == nullptr) {
        attempt->state = AttemptState::Running;
        trace("task.started", entry, "");
        return;
    }
    // Even a refusal may overtake an earlier copy of the start, so the attempt is stopped by name before it is given
    // up.
    attempt->state = AttemptState::StartUncertain;
    attempt->nextTry = m_context.clock.now() + StartRetry;
    if (error->kind == ErrorKind::Overloaded) {
        attempt->stopWanted = true;
        attempt->nextTry = m_context.clock.now();
        // What this side believes of the worker is out of date; its next report says why it refused.
        onWorkerSilent(entry.worker);
    }
    trace("task.start-unconfirmed", entry, error->detail);
}

void PartitionKeeper::sendStop(const TaskEntry &entry, Attempt &attempt)
{
    const std::string task = entry.specification.task;
    const std::uint64_t number = entry.attempt;
    attempt.state = AttemptState::Stopping;
    trace("task.stopping", entry, attempt.stopReason);
    m_context.control.stop(m_workers.at(entry.worker).address, m_tenure.token, {task, number},
        [this, alive = m_alive, task, number](const Result<StopAnswer> &result) {
            if (*alive) {
                onStopAnswer(task, number, result);
            }
        });
}

void PartitionKeeper::onStopAnswer(const std::string &task, std::uint64_t number, const Result<StopAnswer> &result)
{
    Attempt *attempt = findAttempt(task, number);
    if (attempt == nullptr || m_pending.contains(task)) {
        return;
    }
    if (errorOf(result) != nullptr) {
        attempt->state = AttemptState::Running;
        attempt->nextTry = m_context.clock.now() + StartRetry;
        return;
    }
    const auto &answer = std::get<StopAnswer>(result);
    if (answer.state == WorkerTaskState::Absent) {
        // Only a worker that remembers everything since the assignment can say that the attempt never started.
        const TaskEntry &entry = *m_table.find(task);
        const bool never = !answer.incarnation.empty() && answer.incarnation == entry.incarnation;
        releaseAttempt(
            entry, never ? ReleaseReason::NotStarted : ReleaseReason::Lost, "", "it is not on " + entry.worker);
        return;
    }
    TaskReport report;
    report.attempt = {task, number};
    report.state = answer.state;
    report.checkpoint = answer.checkpoint;
    report.result = answer.result;
    recordEnd(*m_table.find(task), report);
}

std::vector<const TaskEntry *> PartitionKeeper::waitingTasks() const
{
    std::vector<const TaskEntry *> waiting;
    for (const std::string &name : m_table.unassigned()) {
        const TaskEntry *entry = m_table.find(name);
        if (entry->phase == TaskPhase::Waiting) {
            waiting.push_back(entry);
        }
    }
    // Watchers first, then by the time that is left, brought forward by priority.
    const auto rank = [](const TaskEntry *entry) {
        constexpr std::int64_t PriorityMilliseconds = 1000;
        const bool isWatcher = entry->specification.profileClass == ProfileClass::Watcher;
        return std::pair(
            isWatcher ? 0 : 1, entry->specification.deadline - PriorityMilliseconds * entry->specification.priority);
    };
    std::ranges::sort(waiting, {}, rank);
    return waiting;
}

bool PartitionKeeper::mayStart(const TaskEntry &entry) const
{
    const std::string &task = entry.specification.task;
    const auto notBefore = m_notBefore.find(task);
    return !m_pending.contains(task) && !entry.cancelRequested
        && (notBefore == m_notBefore.end() || notBefore->second <= m_context.clock.now());
}

void PartitionKeeper::assignWaiting()
{
    std::size_t assigned = 0;
    for (const TaskEntry *entry : waitingTasks()) {
        if (assigned >= AssignmentsPerTick) {
            return;
        }
        if (mayStart(*entry) && isWithinQuota(*entry) && assign(*entry)) {
            ++assigned;
        }
    }
}

// What others hold is known with the delay of gossip, so that teams can exceed a quota for as long as that.
bool PartitionKeeper::isWithinQuota(const TaskEntry &entry) const
{
    const std::string &team = entry.specification.team;
    const std::optional<Resources> quota = team.empty() ? std::nullopt : m_context.quotas.quota(team);
    if (!quota) {
        return true;
    }
    const auto own = m_teamUse.find(team);
    const Resources here = own == m_teamUse.end() ? Resources() : own->second;
    const Resources elsewhere = m_context.quotas.usedElsewhere(team, m_tenure.partition.text());
    return (here + elsewhere + entry.specification.resources).fitsInto(*quota);
}

void PartitionKeeper::countTeams()
{
    m_teamUse.clear();
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        if (entry != nullptr && !entry->specification.team.empty()) {
            Resources &used = m_teamUse[entry->specification.team];
            used = used + entry->specification.resources;
        }
    }
}

const std::map<std::string, Resources> &PartitionKeeper::teamUse() const
{
    return m_teamUse;
}

bool PartitionKeeper::assign(const TaskEntry &entry)
{
    const std::string task = entry.specification.task;
    PlacementQuery query;
    query.demand = demandOf(entry.specification);
    query.excluded = entry.failedOn;
    std::optional<std::string> worker = m_context.placement.choose(m_fleet, query);
    if (!worker && !entry.failedOn.empty()) {
        query.excluded.clear();
        worker = m_context.placement.choose(m_fleet, query);
    }
    if (!worker || !m_fleet.reserve(*worker, holderOf(task), query.demand)) {
        return false;
    }
    if (!entry.specification.team.empty()) {
        Resources &used = m_teamUse[entry.specification.team];
        used = used + entry.specification.resources;
    }
    const TaskAttempt attempt {task, entry.attempt + 1};
    commit(task, {TaskAssigned {attempt, *worker, m_incarnations[*worker]}}, [this, task](const Status &status) {
        if (errorOf(status) != nullptr) {
            m_fleet.release(holderOf(task));
            return;
        }
        m_attempts[task].state = AttemptState::Ready;
        m_unsettled.insert(task);
        driveAttempt(*m_table.find(task), m_attempts[task]);
    });
    return true;
}

std::string PartitionKeeper::holderOf(const std::string &task)
{
    return "task:" + task;
}

void PartitionKeeper::trace(const std::string &kind, const TaskEntry &entry, const std::string &detail)
{
    TimelineEvent event;
    event.kind = kind;
    event.task = entry.specification.task;
    event.worker = entry.worker;
    event.detail = "attempt " + std::to_string(entry.attempt) + (detail.empty() ? "" : ", " + detail);
    m_context.timeline.record(std::move(event));
}

bool PartitionKeeper::isReady() const
{
    return m_ready && !m_handingOver;
}

const TaskTable &PartitionKeeper::table() const
{
    return m_table;
}

Fleet &PartitionKeeper::fleet()
{
    return m_fleet;
}

const Fleet &PartitionKeeper::fleet() const
{
    return m_fleet;
}

const KeeperTenure &PartitionKeeper::tenure() const
{
    return m_tenure;
}

std::vector<std::string> PartitionKeeper::workers() const
{
    std::vector<std::string> names;
    for (const auto &[name, description] : m_workers) {
        names.push_back(name);
    }
    return names;
}

Milliseconds PartitionKeeper::logStalledFor() const
{
    return m_log.stalledFor();
}

std::string PartitionKeeper::explain(const std::string &task) const
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
    if (m_standing != Standing::Held) {
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
