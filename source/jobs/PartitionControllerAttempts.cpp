#include "jobs/PartitionController.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds StartRetry {300};
constexpr Milliseconds FirstBackoff {500};
constexpr Milliseconds LongestBackoff {60'000};
constexpr Milliseconds QuarantineTime {30'000};
constexpr int FailuresForQuarantine = 3;

}

ReportProcessing PartitionController::onWorkerReport(const std::string &worker, const WorkerReport &report, bool first)
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end()) {
        return ReportProcessing::Partial;
    }
    m_incarnations[worker] = report.incarnation;
    if (first) {
        m_fleet.setForeignSlots(worker, report.busySlots - m_fleet.find(worker)->slotsInUse);
        m_context.timeline.record(
            {.kind = "worker.fenced", .worker = worker, .detail = std::to_string(m_tenure.token)});
    } else {
        m_fleet.lowerForeignSlots(worker, report.busySlots);
    }
    if (!m_ready) {
        return ReportProcessing::Partial;
    }
    ReportProcessing use = ReportProcessing::Complete;
    if (!report.tasksUnchanged) {
        for (const TaskReport &task : report.tasks) {
            use = reconcile(worker, task) == ReportProcessing::Complete ? use : ReportProcessing::Partial;
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
        m_fleet.setAdmission(worker, admission);
        m_context.timeline.record({.kind = "worker." + std::string(nameOf(admission)), .worker = worker});
    }
    if (admission == WorkerAdmission::Leaving) {
        evictAllFrom(worker);
    }
    return use;
}

void PartitionController::evictAllFrom(const std::string &worker)
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
ReportProcessing PartitionController::reconcile(const std::string &worker, const TaskReport &report)
{
    const TaskEntry *entry = m_table.find(report.attempt.task);
    const bool present = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->worker == worker
        && entry->attempt == report.attempt.attempt;
    if (!present) {
        const bool pending = m_pending.contains(report.attempt.task);
        if (report.state != WorkerTaskState::Running && !pending) {
            m_monitor.acknowledgeEnd(worker, report.attempt);
        } else if (report.state == WorkerTaskState::Running && !pending) {
            // The log has moved past this attempt, so nothing may come of it any more.
            m_context.control.stop(
                m_workers.at(worker).address, m_tenure.token, report.attempt, [](const Result<StopAnswer> &) {});
        }
        return ReportProcessing::Partial;
    }
    Attempt &attempt = m_attempts[report.attempt.task];
    if (report.state != WorkerTaskState::Running) {
        recordEnd(*entry, report);
        return ReportProcessing::Partial;
    }
    if (attempt.state == AttemptState::Unverified || attempt.state == AttemptState::StartUncertain) {
        attempt.state = AttemptState::Running;
        m_fleet.recordRunning(worker, holderOf(report.attempt.task), demandOf(entry->specification));
    }
    return attempt.state == AttemptState::Running ? ReportProcessing::Complete : ReportProcessing::Partial;
}

void PartitionController::reconcileMissing(const std::string &worker, const WorkerReport &report)
{
    std::set<std::string> reported;
    for (const TaskReport &task : report.tasks) {
        reported.insert(task.attempt.task);
    }
    // An unchanged list holds just the attempts that run, so only the unsettled ones can be missing from it.
    std::vector<std::string> candidates;
    for (const auto &[task, attempt] : m_attempts) {
        const bool listed = report.tasksUnchanged ? attempt.state == AttemptState::Running : reported.contains(task);
        if (!listed && (!report.tasksUnchanged || m_unsettled.contains(task))) {
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

void PartitionController::recordEnd(const TaskEntry &entry, const TaskReport &report)
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
    case WorkerTaskState::LeaseExpired:
        releaseAttempt(entry, ReleaseReason::Lost, report.checkpoint, "its lease ran out on " + entry.worker);
        break;
    case WorkerTaskState::Absent:
    case WorkerTaskState::Running:
        break;
    }
}

void PartitionController::finishTask(const TaskEntry &entry, TaskPhase phase, const std::string &result)
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
            m_monitor.acknowledgeEnd(worker, attempt);
            const TaskEntry *finished = m_table.find(task);
            trace("task." + std::string(nameOf(finished->phase)), *finished, finished->result);
        });
}

void PartitionController::releaseAttempt(
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
        m_fleet.setAdmission(worker, WorkerAdmission::Quarantined);
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
            m_monitor.acknowledgeEnd(worker, attempt);
            const TaskEntry *released = m_table.find(task);
            if (reason == ReleaseReason::Failed) {
                startBackoff(*released);
            }
            trace("task.released", *released, std::string(nameOf(reason)) + ": " + released->reason);
        });
}

void PartitionController::startBackoff(const TaskEntry &entry)
{
    const int doublings = std::min(entry.failures, 10);
    const Milliseconds delay = std::min(LongestBackoff, FirstBackoff * (1 << doublings));
    m_notBefore[entry.specification.task] = m_context.clock.now() + delay;
}

void PartitionController::onWorkerSilent(const std::string &worker)
{
    const FleetWorker *present = m_fleet.find(worker);
    if (present != nullptr && present->admission == WorkerAdmission::Open) {
        m_fleet.setAdmission(worker, WorkerAdmission::Silent);
        m_context.timeline.record({.kind = "worker.silent", .worker = worker});
    }
}

void PartitionController::onWorkerLost(const std::string &worker)
{
    m_context.timeline.record({.kind = "worker.lost", .worker = worker});
    m_fleet.setAdmission(worker, WorkerAdmission::Silent);
    for (const auto &[task, attempt] : std::map(m_attempts)) {
        const TaskEntry *entry = m_table.find(task);
        if (entry == nullptr || entry->worker != worker || m_pending.contains(task)) {
            continue;
        }
        const bool never = attempt.state == AttemptState::Ready;
        releaseAttempt(*entry, never ? ReleaseReason::NotStarted : ReleaseReason::Lost, "", "its worker was lost");
    }
}

void PartitionController::onWorkerTokenRejected(const std::string &worker)
{
    m_context.timeline.record({.kind = "worker.fenced-away", .worker = worker});
    m_fleet.setAdmission(worker, WorkerAdmission::Silent);
}

void PartitionController::driveAttempts()
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

void PartitionController::driveAttempt(const TaskEntry &entry, Attempt &attempt)
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

void PartitionController::sendStart(const TaskEntry &entry, Attempt &attempt)
{
    const std::string &task = entry.specification.task;
    if (!m_monitor.holdsLease(entry.worker) || !m_workers.contains(entry.worker)) {
        return;
    }
    const bool reserved = m_fleet.workerOf(holderOf(task)).has_value();
    const FleetWorker *worker = m_fleet.find(entry.worker);
    if (!reserved && (worker == nullptr || worker->admission != WorkerAdmission::Open)) {
        if (worker != nullptr && attempt.state == AttemptState::Ready && m_standing == OwnershipState::Held) {
            attempt.stopWanted = true;
        }
        return;
    }
    if (!reserved && !m_fleet.reserve(entry.worker, holderOf(task), demandOf(entry.specification))) {
        return;
    }
    attempt.state = AttemptState::Starting;
    const std::uint64_t number = entry.attempt;
    TaskStart start {{task, number}, entry.incarnation, m_monitor.lastReportSequence(entry.worker),
        entry.specification.profile, entry.specification.resources, entry.specification.payload, entry.checkpoint};
    trace("task.starting", entry, "");
    m_context.control.start(m_workers.at(entry.worker).address, m_tenure.token, std::move(start),
        [this, alive = m_alive, task, number](const Status &status) {
            if (*alive) {
                onStartAnswer(task, number, status);
            }
        });
}

PartitionController::Attempt *PartitionController::findAttempt(const std::string &task, std::uint64_t number)
{
    const TaskEntry *entry = m_table.find(task);
    const auto found = m_attempts.find(task);
    const bool present = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->attempt == number
        && found != m_attempts.end();
    return present ? &found->second : nullptr;
}

void PartitionController::onStartAnswer(const std::string &task, std::uint64_t number, const Status &status)
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

void PartitionController::sendStop(const TaskEntry &entry, Attempt &attempt)
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

void PartitionController::onStopAnswer(const std::string &task, std::uint64_t number, const Result<StopAnswer> &result)
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

}
