// JobScheduler: reports, leases and health of the workers.
#include "scheduling/JobScheduler.h"
#include "scheduling/UnreadEnd.h"
#include "scheduling/WorkerChoice.h"
#include "workers/WorkerCodec.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Delay before a worker that left a report request unanswered is asked again.
constexpr Milliseconds ReportRetryDelay {250};
// The same for a worker that is not listed any more and whose leases have expired. It is asked only to find out whether
// it has crashed.
constexpr Milliseconds LostWorkerRetryDelay {1'000};
// Report interval for workers with both serving and backfilling tasks. It gives several reports within the time for
// which a tail latency may stay over its target.
constexpr Milliseconds InterferenceWait {400};
// Report interval for workers with serving tasks only, so that their load is known before other tasks are placed there.
constexpr Milliseconds ServingWait {800};
// Report interval for draining workers, whose leases are short. It allows for several lost reports within one lease.
constexpr Milliseconds DrainingWait {500};
// Report interval while run ends are not recorded yet. The worker lists them again, but the leases of its running tasks
// are renewed even if the store is unavailable.
constexpr Milliseconds UnrecordedInterval {500};
// Longest report interval for workers that may get no lease for the moment. See JobScheduler::mayGrantLease().
constexpr Milliseconds WithheldLeaseWait {200};
// Report interval while run ends are recorded and can't be acknowledged yet. The worker lists them again.
constexpr Milliseconds HeldAcknowledgementInterval {100};
// Delay before an unanswered order is sent again, a few round trips between regions.
constexpr Milliseconds OrderRetryDelay {250};
constexpr int FailuresBeforeQuarantine = 3;
constexpr Milliseconds InitialQuarantine {2'000};
constexpr int MaximumQuarantineDoublings = 3;
// A task without progress for this long is moved. It covers several reports and is longer than any restore from a
// checkpoint.
constexpr Milliseconds StallTimeout {1'800};
// How long after the expiry of its leases the owner waits for the run ends of a worker that the platform still lists.
constexpr Milliseconds LongestEndWait {10'000};

// Returns whether half of the listed workers of a pool are quarantined. If jobs of many kinds fail on so many workers,
// the jobs are more likely to be at fault, and the rest of the pool has to stay for others.
bool isHalfQuarantined(const std::map<std::string, WorkerState> &workers, const std::string &pool, Instant now)
{
    int listed = 0;
    int quarantined = 0;
    for (const auto &[name, worker] : workers) {
        if (worker.listed && worker.listing.pool == pool) {
            ++listed;
            quarantined += worker.quarantinedUntil > now ? 1 : 0;
        }
    }
    return quarantined * 2 >= listed;
}

}

OrderTarget JobScheduler::target(const WorkerState &worker) const
{
    return {worker.listing.name, worker.listing.address, m_token};
}

WorkerState *JobScheduler::findWorker(const std::string &name)
{
    const auto found = m_workers.find(name);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool JobScheduler::mayGrantLease(const WorkerState &worker) const
{
    return isAuthorityCurrent() && m_leaseHandover.mayGrant(worker.listing.name);
}

std::int64_t JobScheduler::grantLease(WorkerState &worker)
{
    // Tasks that end with their worker run nowhere until its leases have expired, so a worker that may leave soon gets
    // no longer ones than it is certain to stay.
    const Milliseconds length = worker.listing.draining ? std::min(m_limits.lease, m_limits.drain) : m_limits.lease;
    const std::int64_t until = worker.clock.leaseEnd(m_environment.clock.now(), length);
    worker.leaseGrantedUntil = std::max(worker.leaseGrantedUntil, until);
    return until;
}

void JobScheduler::updateWorker(const WorkerListing &listing)
{
    WorkerState &worker = m_workers[listing.name];
    const bool addressChanged = !worker.listing.address.empty() && worker.listing.address != listing.address;
    const bool newlyListed = !worker.listed;
    const bool startsDraining = listing.draining && !worker.listing.draining;
    const Resources formerCapacity = worker.listing.capacity;
    const bool capacityChanged
        = worker.listed && worker.listing.incarnation == listing.incarnation && formerCapacity != listing.capacity;
    worker.updateListing(listing);
    worker.listed = true;
    if (newlyListed && !worker.hasAnswered && m_environment.clock.now() < m_leaseHandover.priorLeasesExpireAt()) {
        // A last owner of an earlier version may have granted leases to a worker that it had not recorded yet.
        m_leaseHandover.expect(listing.name);
    }
    if (capacityChanged) {
        logCapacityChange(worker, formerCapacity);
    }
    // A restart at the same address is acted upon when the next incarnation has reported, because starts may have
    // reached it.
    if (addressChanged) {
        worker.answeredRequestSentAt = {};
        const Instant now = m_environment.clock.now();
        onWorkerRestarted(worker, listing.incarnation, {{}, now, now});
    }
    if (addressChanged || worker.isRestartListed()) {
        m_leaseHandover.expectAgain(listing.name, m_environment.clock.now());
    }
    if (startsDraining) {
        worker.drainingSince = m_environment.clock.now();
        worker.sawDrainBegin = !newlyListed;
        closeOpenRuns(worker);
    }
    if (newlyListed || startsDraining) {
        m_environment.listener.logDecision(startsDraining ? "worker-draining" : "worker-listed", listing.name,
            {{"address", listing.address}, {"pool", listing.pool}, {"rack", listing.rack}});
    }
    requestReport(worker);
    dispatchSoon();
}

void JobScheduler::logCapacityChange(const WorkerState &worker, const Resources &formerCapacity)
{
    m_environment.listener.logDecision("worker-capacity-changed", worker.listing.name,
        {{"previous", describe(formerCapacity)}, {"capacity", describe(worker.listing.capacity)},
            {"used", describe(worker.used)}, {"tasks", worker.tasks.size()},
            {"over_capacity", worker.isOverCapacity()}});
}

void JobScheduler::removeWorker(const std::string &name)
{
    WorkerState *worker = findWorker(name);
    if (worker != nullptr && worker->listed) {
        worker->listed = false;
        worker->unlistedSince = m_environment.clock.now();
        m_environment.listener.logDecision("worker-unlisted", name, {{"tasks", worker->tasks.size()}});
    }
}

void JobScheduler::requestReport(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    if (worker.reportPending || worker.listing.address.empty()) {
        return;
    }
    const bool isLost = !worker.listed && worker.tasks.empty() && !worker.lostRuns.empty();
    const Milliseconds retryDelay = isLost ? LostWorkerRetryDelay : ReportRetryDelay;
    if (worker.consecutiveUnanswered > 0 && now - worker.lastAnswer < retryDelay) {
        return;
    }
    const bool unrecorded = worker.hasUnrecordedEnds();
    if (unrecorded && now - worker.lastAnswer < UnrecordedInterval) {
        return;
    }
    // The numbers of the ends start anew with each incarnation. While a start may have reached an incarnation that is
    // not known yet, an acknowledgement could make it forget ends that nobody has read. A worker that left the last
    // request unanswered may have restarted.
    const bool unacknowledged = worker.recordedEnd > worker.acknowledgedEnd;
    const bool mayAcknowledge = unacknowledged && worker.unsettledStarts.isEmpty() && worker.consecutiveUnanswered == 0;
    const bool holdsAcknowledgement = unacknowledged && !mayAcknowledge;
    if (holdsAcknowledgement && now - worker.lastAnswer < HeldAcknowledgementInterval) {
        return;
    }
    ReportRequest request;
    request.recordedEnd = mayAcknowledge ? worker.recordedEnd : 0;
    // While an acknowledgement is on its way the worker takes no tasks whose ends matter.
    const bool mayWait = worker.hasAnswered && worker.consecutiveUnanswered == 0 && !unrecorded && !unacknowledged
        && !worker.unsettledStarts.isUnclear();
    if (mayWait) {
        const bool mixed = !worker.serving.empty() && !worker.backfilling.empty();
        request.wait = mixed ? InterferenceWait : worker.serving.empty() ? m_limits.longestWait : ServingWait;
    }
    if (!worker.tasks.empty() && worker.listing.draining) {
        request.wait = std::min(request.wait, DrainingWait);
    }
    if (!worker.tasks.empty() && !mayGrantLease(worker)) {
        request.wait = std::min(request.wait, WithheldLeaseWait);
    }
    // The leases of a worker that may be down are not renewed, so that its tasks can soon be placed elsewhere.
    const bool renew = m_authority != SchedulingAuthority::Observe && worker.clock.isKnown() && worker.hasAnswered
        && !worker.tasks.empty() && worker.consecutiveUnanswered == 0 && mayGrantLease(worker);
    if (renew) {
        request.leaseUntil = grantLease(worker);
    }
    worker.reportPending = true;
    worker.sentAcknowledgement = request.recordedEnd;
    worker.sentRenewal = renew;
    m_environment.gateway.report(target(worker), request,
        [weak = std::weak_ptr(m_self), name = worker.listing.name, address = worker.listing.address, sentAt = now](
            const std::variant<RunReport, OrderOutcome> &result) {
            if (const auto self = weak.lock()) {
                (*self)->onReport(name, address, sentAt, result);
            }
        });
}

void JobScheduler::onReport(const std::string &name, const std::string &address, Instant sentAt,
    const std::variant<RunReport, OrderOutcome> &result)
{
    WorkerState *worker = findWorker(name);
    if (worker == nullptr) {
        return;
    }
    worker->reportPending = false;
    worker->lastAnswer = m_environment.clock.now();
    if (const auto *outcome = std::get_if<OrderOutcome>(&result)) {
        if (*outcome == OrderOutcome::Unknown) {
            worker->lateRequests.unanswered(
                m_environment.clock.now(), {worker->sentAcknowledgement > 0, worker->sentRenewal});
        }
        onReportFailed(*worker, address, *outcome);
        return;
    }
    if (worker->isUnreachable()) {
        m_environment.listener.logDecision(
            "worker-reachable-again", name, {{"unanswered", worker->consecutiveUnanswered}});
    }
    // A request that acknowledges ends of the former incarnation would make the next one forget unread ends with the
    // same numbers.
    const std::int64_t formerIncarnation = worker->incarnation;
    worker->consecutiveUnanswered = 0;
    applyReport(*worker, std::get<RunReport>(result), sentAt);
    if (worker->incarnation != formerIncarnation) {
        worker->quarantinedUntil = std::max(worker->quarantinedUntil, worker->lateRequests.acknowledgementsEndAt());
    }
    worker->lastContact = m_environment.clock.now();
    if (address == worker->listing.address) {
        worker->answeredRequestSentAt = std::max(worker->answeredRequestSentAt, sentAt);
    }
    dispatchSoon();
    // The next request may acknowledge run ends again.
    sendRecordedStarts(*worker);
    requestReport(*worker);
}

void JobScheduler::onReportFailed(WorkerState &worker, const std::string &address, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(worker.listing.name);
    }
    if (outcome == OrderOutcome::OtherIncarnation && address == worker.listing.address) {
        onWorkerReplaced(worker);
    }
    // A worker that drains leaves and does not come back.
    if (worker.hasAnswered && !worker.listing.draining) {
        m_leaseHandover.expectAgain(worker.listing.name, m_environment.clock.now());
    }
    ++worker.consecutiveUnanswered;
    if (worker.consecutiveUnanswered == WorkerState::UnansweredBeforeUnreachable) {
        m_environment.listener.logDecision(
            "worker-unreachable", worker.listing.name, {{"outcome", nameOf(outcome)}, {"tasks", worker.tasks.size()}});
    }
}

void JobScheduler::applyReport(WorkerState &worker, const RunReport &report, Instant sentAt)
{
    const Instant now = m_environment.clock.now();
    const NextIncarnation next = NextIncarnation::of(report, sentAt, now);
    if (worker.incarnation != 0 && report.incarnation != worker.incarnation) {
        if (report.incarnation < worker.incarnation) {
            return;
        }
        onWorkerRestarted(worker, report.incarnation, next);
    }
    const bool firstOfIncarnation = worker.incarnation != report.incarnation || !worker.clock.isKnown();
    worker.incarnation = report.incarnation;
    worker.acknowledgedEnd = std::max(worker.acknowledgedEnd, worker.sentAcknowledgement);
    worker.unsettledStarts.confirmIncarnation(sentAt);
    // The first report of an incarnation sets the clock even if it was requested before the restart was known.
    worker.clock.observe(report.workerClock, firstOfIncarnation ? now : sentAt, now);
    worker.refusedForCapacity = false;
    if (!worker.hasAnswered) {
        worker.hasAnswered = true;
        worker.priorLeaseExpiresAt
            = std::max(worker.priorLeaseExpiresAt, m_leaseHandover.leaseExpiryOnceHeard(worker.listing.name, now));
    }
    if (report.truncated) {
        m_leaseHandover.noteTruncatedReport(worker.listing.name);
    } else if (!worker.isRestartListed() || m_leaseHandover.haveEarlierStartsEnded(now)) {
        m_leaseHandover.confirm(worker.listing.name);
    }
    for (const EndedTask &ended : report.ended) {
        if (ended.number > worker.appliedEnd) {
            applyEnd(worker, ended);
            worker.appliedEnd = ended.number;
            worker.unrecordedEnds[ended.number] = ended.run.task;
        }
    }
    std::set<RunName> listed;
    for (const RunningTask &running : report.running) {
        listed.insert(running.run);
        applyRunning(worker, running, sentAt);
    }
    worker.obsoleteRuns.applyReport(listed, sentAt);
    explainLostRuns(worker, report.incarnation, next.listedRuns);
    if (!report.truncated) {
        requeueMissingRuns(worker, listed, sentAt);
    }
    moveStalledTasks(worker);
    worker.hasNewReport = true;
    updateInterference(worker);
    throttleBackfill(worker);
    if (worker.hasUnrecordedEnds()) {
        m_environment.listener.runEndsReported();
    }
}

void JobScheduler::applyRunning(WorkerState &worker, const RunningTask &running, Instant sentAt)
{
    TaskState *task = findTask(running.run.task);
    const bool current = task != nullptr && task->worker == worker.listing.name && task->run == running.run.run;
    if (current) {
        if (task->phase == RunPhase::Starting) {
            markRunning(*task, sentAt);
        }
        updateProgress(*task, running);
        task->progressRequestedAt = sentAt;
        clearSuspicion(*task);
        return;
    }
    if (adoptRun(worker, running, sentAt)) {
        return;
    }
    if (worker.obsoleteRuns.addListed(running.run)) {
        Json inputs = {{"worker", worker.listing.name}, {"run", running.run.run}};
        if (task != nullptr) {
            inputs.update(
                {{"phase", nameOf(task->phase)}, {"current_worker", task->worker}, {"current_run", task->run}});
        }
        m_environment.listener.logDecision("orphan-run-stopped", running.run.task.text(), inputs);
    }
    stopObsolete(worker, running.run);
}

bool JobScheduler::adoptRun(WorkerState &worker, const RunningTask &running, Instant sentAt)
{
    TaskState *task = findTask(running.run.task);
    // An earlier owner started a later run only after the end of the adopted one, which this owner has not read yet.
    const bool isLaterThanAdopted = task != nullptr && task->runAdopted && task->phase == RunPhase::Running
        && task->run < running.run.run && task->worker != worker.listing.name && !task->step->specification().gang;
    if (isLaterThanAdopted) {
        discardRun(*task);
        requeue(*task, Milliseconds(0));
    }
    if (task == nullptr || task->phase != RunPhase::Waiting || task->run >= running.run.run) {
        return false;
    }
    JobState &job = *task->step->occurrence->job;
    if (!job.fromEarlierTerm || job.isFinished()) {
        return false;
    }
    place(*task, worker, running.run.run);
    task->isolatedSince.reset();
    task->runAdopted = true;
    task->isPlaceKnown = false;
    task->progressRequestedAt = sentAt;
    markRunning(*task, sentAt);
    updateProgress(*task, running);
    return true;
}

void JobScheduler::updateProgress(TaskState &task, const RunningTask &running)
{
    if (running.percent != task.percent) {
        task.percent = running.percent;
        task.progressedAt = m_environment.clock.now();
    }
    task.usage = running.usage;
    if (!running.checkpoint.empty()) {
        // A later report may repeat a checkpoint that is older than what another member of a gang has.
        task.checkpointAt = task.checkpoint == running.checkpoint ? task.checkpointAt : m_environment.clock.now();
        task.checkpoint = running.checkpoint;
    }
}

void JobScheduler::requeueMissingRuns(WorkerState &worker, const std::set<RunName> &listed, Instant sentAt)
{
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        const bool orderAnswered
            = !task->orderPending && task->lastOrderAnswered != Instant() && task->lastOrderAnswered < sentAt;
        if (task->phase == RunPhase::Starting || !orderAnswered || listed.contains({nameOf(*task), task->run})) {
            continue;
        }
        if (task->phase == RunPhase::Running) {
            m_environment.listener.logDecision(
                "run-missing", nameOf(*task).text(), {{"worker", worker.listing.name}, {"run", task->run}});
        }
        requeue(*task, Milliseconds(0));
    }
}

void JobScheduler::moveStalledTasks(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        const StepSpecification &step = task->step->specification();
        const bool mayStall = task->phase == RunPhase::Running && !step.backfills && !step.gang && !step.longRunning;
        const Milliseconds timeout = std::max(StallTimeout, step.estimate / 2);
        if (!mayStall || now - task->progressedAt < timeout) {
            continue;
        }
        m_environment.listener.logDecision("run-stalled", nameOf(*task).text(),
            {{"worker", worker.listing.name}, {"run", task->run}, {"percent", task->percent}});
        task->avoidedWorkers.insert(worker.listing.name);
        recordFailure(worker, task->step->occurrence->job->specification.id);
        beginStop(*task);
    }
}

Instant JobScheduler::longestLeaseExpiry() const
{
    return m_environment.clock.now() + WorkerClock::longestDuration(m_limits.longestLease);
}

void JobScheduler::stopLateStarts(WorkerState &worker)
{
    for (const auto &[run, until] : worker.lateStarts.after(m_environment.clock.now())) {
        const TaskState *task = findTask(run.task);
        const bool isCurrent = task != nullptr && task->worker == worker.listing.name && task->run == run.run;
        if (!isCurrent) {
            worker.obsoleteRuns.add(run, until);
            stopObsolete(worker, run);
        }
    }
}

void JobScheduler::onWorkerRestarted(WorkerState &worker, std::int64_t incarnation, const NextIncarnation &next)
{
    std::vector<TaskState *> lost;
    std::vector<TaskState *> uncertain;
    std::set<TaskState *> kept;
    for (TaskState *task : worker.tasks) {
        const RestartFate fate = fateAfterRestart(*task, next);
        if (fate == RestartFate::Kept) {
            kept.insert(task);
        } else {
            (fate == RestartFate::Lost ? lost : uncertain).push_back(task);
        }
    }
    m_environment.listener.logDecision("worker-restarted", worker.listing.name,
        {{"previous_incarnation", worker.incarnation}, {"incarnation", incarnation}, {"tasks", worker.tasks.size()},
            {"kept", kept.size()}, {"uncertain", uncertain.size()}});
    const std::vector<CrashEvidence> evidence = collectCrashEvidence(worker, next.bornBy, kept);
    worker.incarnation = incarnation;
    worker.appliedEnd = 0;
    worker.recordedEnd = 0;
    worker.unrecordedEnds.clear();
    worker.sentAcknowledgement = 0;
    worker.acknowledgedEnd = 0;
    worker.obsoleteRuns.restart(worker.unsettledStarts.isEmpty() ? std::nullopt : std::optional(longestLeaseExpiry()));
    stopLateStarts(worker);
    worker.clock.reset(m_environment.clock.now());
    worker.leaseGrantedUntil = 0;
    const bool mayHoldLeases = !kept.empty() || !uncertain.empty() || !worker.obsoleteRuns.isEmpty();
    worker.priorLeaseExpiresAt = mayHoldLeases ? longestLeaseExpiry() : Instant();
    // A start that the worker refuses renews the leases as well.
    const Instant renewalsEndAt = std::max(worker.lateRequests.renewalsEndAt(), worker.lateStarts.endAt());
    if (m_environment.clock.now() < renewalsEndAt) {
        worker.priorLeaseExpiresAt
            = std::max(worker.priorLeaseExpiresAt, renewalsEndAt + WorkerClock::longestDuration(m_limits.longestLease));
    }
    worker.hasAnswered = false;
    worker.refusedForCapacity = false;
    worker.consecutiveFailures = 0;
    worker.quarantinedUntil = {};
    for (TaskState *task : kept) {
        task->isWithNextIncarnation = false;
    }
    for (TaskState *task : lost) {
        requeue(*task, Milliseconds(0));
    }
    for (TaskState *task : uncertain) {
        // The new incarnation must have refused the start before the task runs elsewhere.
        beginStop(*task);
    }
    countCrashes(worker, evidence);
}

void JobScheduler::expireLeases(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    const std::optional<Instant> expiry = worker.leaseExpiry();
    const bool expired = worker.consecutiveUnanswered > 0 && expiry && now >= *expiry;
    if (!expired) {
        return;
    }
    const bool mayAnswer = worker.mayBeAlive(now) && now < *expiry + LongestEndWait;
    std::vector<TaskState *> lost;
    std::copy_if(worker.tasks.begin(), worker.tasks.end(), std::back_inserter(lost),
        [&](const TaskState *task) { return !mayAnswer || !mayHaveCompleted(*task, *expiry); });
    if (lost.empty()) {
        return;
    }
    const auto silence = std::chrono::duration_cast<Milliseconds>(now - worker.lastContact);
    m_environment.listener.logDecision("worker-leases-expired", worker.listing.name,
        {{"tasks", lost.size()}, {"awaited", worker.tasks.size() - lost.size()}, {"listed", worker.listed},
            {"unanswered", worker.consecutiveUnanswered}, {"last_contact_age_ms", silence.count()}});
    noteLostRuns(worker, lost);
}

void JobScheduler::retryOrders(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    for (TaskState *task : worker.tasks) {
        if (task->orderPending || task->awaitsRecording || now - task->lastOrderSent < OrderRetryDelay) {
            continue;
        }
        // If the worker has crashed, the next incarnation would carry out the repeated start as well.
        const bool mayStart = m_authority == SchedulingAuthority::Full && worker.consecutiveUnanswered == 0
            && !worker.unsettledStarts.isUnclear() && !worker.isAcknowledging();
        if (task->phase == RunPhase::Starting && mayStart) {
            if (mayRepeatStart(worker, *task->step, now)) {
                sendStart(*task);
            } else {
                withdrawStart(*task);
            }
        } else if (task->phase == RunPhase::Stopping) {
            sendStop(*task);
        }
    }
    if (worker.consecutiveUnanswered > 0) {
        return;
    }
    for (const RunName &run : worker.obsoleteRuns.dueStops(now)) {
        stopObsolete(worker, run);
    }
}

void JobScheduler::recordFailure(WorkerState &worker, const std::string &job)
{
    // Repeated failures of the same job count once, since they may be the fault of the job and not of the worker.
    if (worker.lastFailedJob == job) {
        return;
    }
    worker.lastFailedJob = job;
    ++worker.consecutiveFailures;
    if (worker.consecutiveFailures < FailuresBeforeQuarantine) {
        return;
    }
    if (isHalfQuarantined(m_workers, worker.listing.pool, m_environment.clock.now())) {
        return;
    }
    const int doublings = std::min(worker.quarantineCount, MaximumQuarantineDoublings);
    const Milliseconds duration = InitialQuarantine * (1 << doublings);
    ++worker.quarantineCount;
    // After the quarantine a single failure leads to the next one.
    worker.consecutiveFailures = FailuresBeforeQuarantine - 1;
    worker.quarantinedUntil = std::max(worker.quarantinedUntil, m_environment.clock.now() + duration);
    m_environment.listener.logDecision(
        "worker-quarantined", worker.listing.name, {{"duration_ms", duration.count()}, {"job", job}});
}

}
