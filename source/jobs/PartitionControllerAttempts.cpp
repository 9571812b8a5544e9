#include "jobs/PartitionController.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds StartRetryDelay {300};
constexpr Milliseconds InitialBackoff {500};
constexpr Milliseconds MaximumBackoff {60'000};
constexpr Milliseconds QuarantineDuration {30'000};
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
        m_context.timeline.record({.kind = "worker.fenced", .worker = worker, .detail = std::to_string(m_term.token)});
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
        evictRepeatableTasks(worker);
    }
    return use;
}

void PartitionController::evictRepeatableTasks(const std::string &worker)
{
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        const bool mayRepeat = entry != nullptr && entry->specification.repeatability == Repeatability::Idempotent;
        if (mayRepeat && entry->worker == worker) {
            evict(task, "its worker is leaving");
        }
    }
}

// Compares a reported task with the log. Returns Whole if nothing is left to do about the task.
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
            // The log has released or replaced this attempt, so its result would be discarded.
            m_context.control.stop(
                m_workers.at(worker).address, m_term.token, report.attempt, [](const Result<StopAnswer> &) {});
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
    // An unchanged report contains exactly the attempts in the Running state, so only attempts that still have to be
    // driven can be missing from it.
    std::vector<std::string> candidates;
    for (const auto &[task, attempt] : m_attempts) {
        const bool listed = report.tasksUnchanged ? attempt.state == AttemptState::Running : reported.contains(task);
        if (!listed && (!report.tasksUnchanged || m_attemptsToDrive.contains(task))) {
            candidates.push_back(task);
        }
    }
    for (const std::string &task : candidates) {
        Attempt &attempt = m_attempts[task];
        const TaskEntry *entry = m_table.find(task);
        if (entry == nullptr || entry->worker != worker || m_pending.contains(task)) {
            continue;
        }
        const bool sameIncarnation = entry->incarnation == report.incarnation;
        if (attempt.state == AttemptState::Unverified && sameIncarnation) {
            // The worker is fenced and has not restarted since the assignment: the start never arrived.
            attempt.state = AttemptState::Ready;
        } else if (attempt.state == AttemptState::Ready && !sameIncarnation) {
            releaseAttempt(*entry, ReleaseReason::NotStarted, "", "its worker began anew before the start");
        } else if (attempt.state != AttemptState::Starting && !sameIncarnation) {
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
        m_consecutiveWorkerFailures[entry.worker] = 0;
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
            m_earliestStart.erase(task);
            m_fleet.release(holderOf(task));
            m_monitor.acknowledgeEnd(worker, attempt);
            const TaskEntry *finished = m_table.find(task);
            recordEvent("task." + std::string(nameOf(finished->phase)), *finished, finished->result);
        });
}

void PartitionController::releaseAttempt(
    const TaskEntry &entry, ReleaseReason reason, const std::string &checkpoint, const std::string &detail)
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
        finishTask(entry, reason == ReleaseReason::Failed ? TaskPhase::Failed : TaskPhase::Unknown, detail);
        return;
    }
    if (reason == ReleaseReason::Failed && !isWatcher && entry.failures + 1 >= entry.specification.maximumAttempts) {
        finishTask(entry, TaskPhase::Failed, detail);
        return;
    }
    const std::string worker = entry.worker;
    const TaskAttempt attempt {task, entry.attempt};
    if (reason == ReleaseReason::Failed && ++m_consecutiveWorkerFailures[worker] >= FailuresForQuarantine) {
        m_quarantinedUntil[worker] = m_context.clock.now() + QuarantineDuration;
        m_fleet.setAdmission(worker, WorkerAdmission::Quarantined);
        m_context.timeline.record({.kind = "worker.quarantined", .worker = worker});
        m_consecutiveWorkerFailures[worker] = 0;
    }
    commit(task, {TaskReleased {attempt, reason, checkpoint, detail}},
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
            recordEvent("task.released", *released, std::string(nameOf(reason)) + ": " + released->reason);
        });
}

void PartitionController::startBackoff(const TaskEntry &entry)
{
    const int doublings = std::min(entry.failures, 10);
    const Milliseconds delay = std::min(MaximumBackoff, InitialBackoff * (1 << doublings));
    m_earliestStart[entry.specification.task] = m_context.clock.now() + delay;
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
        const bool neverStarted = attempt.state == AttemptState::Ready;
        releaseAttempt(
            *entry, neverStarted ? ReleaseReason::NotStarted : ReleaseReason::Lost, "", "its worker was lost");
    }
}

void PartitionController::onWorkerTokenRejected(const std::string &worker)
{
    m_context.timeline.record({.kind = "worker.fenced-away", .worker = worker});
    m_fleet.setAdmission(worker, WorkerAdmission::Silent);
}

void PartitionController::driveAttempts()
{
    for (const std::string &task : std::set(m_attemptsToDrive)) {
        const TaskEntry *entry = m_table.find(task);
        const auto attempt = m_attempts.find(task);
        if (entry == nullptr || attempt == m_attempts.end() || entry->phase != TaskPhase::Assigned) {
            m_attemptsToDrive.erase(task);
            continue;
        }
        const bool stopRequested = attempt->second.stopRequested || entry->cancelRequested;
        if (attempt->second.state == AttemptState::Running && !stopRequested) {
            m_attemptsToDrive.erase(task);
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
    const bool stopRequested = attempt.stopRequested || entry.cancelRequested;
    const Instant now = m_context.clock.now();
    switch (attempt.state) {
    case AttemptState::Unverified:
    case AttemptState::Starting:
    case AttemptState::Stopping:
        break;
    case AttemptState::Ready:
        if (stopRequested) {
            releaseAttempt(entry, ReleaseReason::NotStarted, "", "it was withdrawn before its start");
        } else if (now >= attempt.retryAt) {
            sendStart(entry, attempt);
        }
        break;
    case AttemptState::StartUncertain:
        if (now >= attempt.retryAt) {
            stopRequested ? sendStop(entry, attempt) : sendStart(entry, attempt);
        }
        break;
    case AttemptState::Running:
        if (stopRequested && now >= attempt.retryAt) {
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
        if (worker != nullptr && attempt.state == AttemptState::Ready && m_ownershipState == OwnershipState::Held) {
            attempt.stopRequested = true;
        }
        return;
    }
    if (!reserved && !m_fleet.reserve(entry.worker, holderOf(task), demandOf(entry.specification))) {
        return;
    }
    attempt.state = AttemptState::Starting;
    const std::uint64_t attemptNumber = entry.attempt;
    TaskStart start {{task, attemptNumber}, entry.incarnation, m_monitor.lastReportSequence(entry.worker),
        entry.specification.profile, entry.specification.resources, entry.specification.payload, entry.checkpoint};
    recordEvent("task.starting", entry, "");
    m_context.control.start(m_workers.at(entry.worker).address, m_term.token, std::move(start),
        [this, alive = m_alive, task, attemptNumber](const Status &status) {
            if (*alive) {
                onStartAnswer(task, attemptNumber, status);
            }
        });
}

PartitionController::Attempt *PartitionController::findAttempt(const std::string &task, std::uint64_t attemptNumber)
{
    const TaskEntry *entry = m_table.find(task);
    const auto found = m_attempts.find(task);
    const bool present = entry != nullptr && entry->phase == TaskPhase::Assigned && entry->attempt == attemptNumber
        && found != m_attempts.end();
    return present ? &found->second : nullptr;
}

void PartitionController::onStartAnswer(const std::string &task, std::uint64_t attemptNumber, const Status &status)
{
    Attempt *attempt = findAttempt(task, attemptNumber);
    if (attempt == nullptr || attempt->state != AttemptState::Starting) {
        return;
    }
    const TaskEntry &entry = *m_table.find(task);
    const Error *error = errorOf(status);
    if (error == nullptr) {
        attempt->state = AttemptState::Running;
        recordEvent("task.started", entry, "");
        return;
    }
    // A refusal may arrive while an earlier copy of the start is still on its way, so the attempt is released only
    // after an explicit stop.
    attempt->state = AttemptState::StartUncertain;
    attempt->retryAt = m_context.clock.now() + StartRetryDelay;
    if (error->kind == ErrorKind::Overloaded) {
        attempt->stopRequested = true;
        attempt->retryAt = m_context.clock.now();
        // This instance's view of the worker is out of date. The worker gets no new tasks until its next report, which
        // shows why it refused.
        onWorkerSilent(entry.worker);
    }
    recordEvent("task.start-unconfirmed", entry, error->detail);
}

void PartitionController::sendStop(const TaskEntry &entry, Attempt &attempt)
{
    const std::string task = entry.specification.task;
    const std::uint64_t attemptNumber = entry.attempt;
    attempt.state = AttemptState::Stopping;
    recordEvent("task.stopping", entry, attempt.stopReason);
    m_context.control.stop(m_workers.at(entry.worker).address, m_term.token, {task, attemptNumber},
        [this, alive = m_alive, task, attemptNumber](const Result<StopAnswer> &result) {
            if (*alive) {
                onStopAnswer(task, attemptNumber, result);
            }
        });
}

void PartitionController::onStopAnswer(
    const std::string &task, std::uint64_t attemptNumber, const Result<StopAnswer> &result)
{
    Attempt *attempt = findAttempt(task, attemptNumber);
    if (attempt == nullptr || m_pending.contains(task)) {
        return;
    }
    if (errorOf(result) != nullptr) {
        attempt->state = AttemptState::Running;
        attempt->retryAt = m_context.clock.now() + StartRetryDelay;
        return;
    }
    const auto &answer = std::get<StopAnswer>(result);
    if (answer.state == WorkerTaskState::Absent) {
        // Only a worker that has not restarted since the assignment can tell that the attempt never started.
        const TaskEntry &entry = *m_table.find(task);
        const bool neverStarted = !answer.incarnation.empty() && answer.incarnation == entry.incarnation;
        releaseAttempt(
            entry, neverStarted ? ReleaseReason::NotStarted : ReleaseReason::Lost, "", "it is not on " + entry.worker);
        return;
    }
    TaskReport report;
    report.attempt = {task, attemptNumber};
    report.state = answer.state;
    report.checkpoint = answer.checkpoint;
    report.result = answer.result;
    recordEnd(*m_table.find(task), report);
}

}
