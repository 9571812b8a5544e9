// The part of JobScheduler that follows the workers: reports, leases, health and pace.
#include "scheduling/JobScheduler.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A worker that left a report request unanswered is asked again after this time.
constexpr Milliseconds ReportRetryPeriod {250};
// Workers with serving tasks beside backfilling ones are asked this often: several times within the time that a tail
// may stay over its target.
constexpr Milliseconds PacedWait {400};
// Workers with serving tasks alone are asked often enough to know their load before work is put beside them.
constexpr Milliseconds ServingWait {800};
// Unrecorded ends are listed again after this time, so that running tasks are renewed while the store is away.
constexpr Milliseconds UnrecordedPeriod {500};
// An unanswered order is sent again after this time: a few round trips between regions.
constexpr Milliseconds OrderRetryPeriod {250};
constexpr int FailuresBeforeQuarantine = 3;
// Time that a stop and the answer to it take before a draining worker exits.
constexpr Milliseconds DrainMargin {500};
constexpr Milliseconds FirstQuarantine {2'000};
constexpr int MostQuarantineDoublings = 3;
// A task that makes no progress for this long is moved: several reports, and longer than any restore.
constexpr Milliseconds StallTime {1'800};

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

std::int64_t JobScheduler::grantLease(WorkerState &worker)
{
    const bool first = worker.leaseGrantedUntil == 0;
    const std::int64_t until = worker.clock.leaseEnd(m_environment.clock.now(), m_limits.lease);
    worker.leaseGrantedUntil = std::max(worker.leaseGrantedUntil, until);
    if (first) {
        m_environment.listener.leaseHoldersChanged();
    }
    return until;
}

void JobScheduler::updateWorker(const WorkerListing &listing)
{
    WorkerState &worker = m_workers[listing.name];
    const bool moved = !worker.listing.address.empty() && worker.listing.address != listing.address;
    const bool began = !worker.listed;
    const bool drains = listing.draining && !worker.listing.draining;
    worker.listing = listing;
    worker.listed = true;
    if (moved || (worker.incarnation != 0 && listing.incarnation > worker.incarnation)) {
        workerRestarted(worker, listing.incarnation);
    }
    if (began || drains) {
        m_environment.listener.logDecision(drains ? "worker-draining" : "worker-listed", listing.name,
            {{"address", listing.address}, {"pool", listing.pool}, {"rack", listing.rack}});
    }
    contact(worker);
    dispatchSoon();
}

void JobScheduler::removeWorker(const std::string &name)
{
    WorkerState *worker = findWorker(name);
    if (worker != nullptr && worker->listed) {
        worker->listed = false;
        m_environment.listener.logDecision("worker-unlisted", name, {{"tasks", worker->tasks.size()}});
    }
}

void JobScheduler::contact(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    if (worker.reportOpen || worker.listing.address.empty()) {
        return;
    }
    if (worker.unansweredInRow > 0 && now - worker.lastAnswer < ReportRetryPeriod) {
        return;
    }
    const bool unrecorded = worker.processedEnd > worker.recordedEnd;
    if (unrecorded && now - worker.lastAnswer < UnrecordedPeriod) {
        return;
    }
    ReportRequest request;
    request.recordedEnd = worker.recordedEnd;
    const bool settled = worker.contacted && worker.unansweredInRow == 0 && !unrecorded;
    if (settled) {
        const bool mixed = !worker.serving.empty() && !worker.backfilling.empty();
        request.wait = mixed ? PacedWait : worker.serving.empty() ? m_limits.longestWait : ServingWait;
    }
    // A worker that may be gone gets no more renewals, so that its tasks can be given to others soon.
    const bool renew = m_authority != SchedulingAuthority::Observe && worker.clock.isKnown() && worker.contacted
        && !worker.tasks.empty() && worker.unansweredInRow == 0;
    if (renew) {
        request.leaseUntil = grantLease(worker);
    }
    worker.reportOpen = true;
    m_environment.gateway.report(target(worker), request,
        [weak = std::weak_ptr(m_self), name = worker.listing.name, sentAt = now](
            const std::variant<RunReport, OrderOutcome> &result) {
            if (const auto self = weak.lock()) {
                (*self)->onReport(name, sentAt, result);
            }
        });
}

void JobScheduler::onReport(
    const std::string &name, Instant sentAt, const std::variant<RunReport, OrderOutcome> &result)
{
    WorkerState *worker = findWorker(name);
    if (worker == nullptr) {
        return;
    }
    worker->reportOpen = false;
    worker->lastAnswer = m_environment.clock.now();
    if (const auto *outcome = std::get_if<OrderOutcome>(&result)) {
        onReportFailed(*worker, *outcome);
        return;
    }
    if (worker->unansweredInRow >= UnansweredBeforeNotice) {
        m_environment.listener.logDecision("worker-answers-again", name, {{"unanswered", worker->unansweredInRow}});
    }
    worker->unansweredInRow = 0;
    applyReport(*worker, std::get<RunReport>(result), sentAt);
    dispatchSoon();
    contact(*worker);
}

void JobScheduler::onReportFailed(WorkerState &worker, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(worker.listing.name);
    }
    ++worker.unansweredInRow;
    if (worker.unansweredInRow == UnansweredBeforeNotice) {
        m_environment.listener.logDecision(
            "worker-unreachable", worker.listing.name, {{"outcome", nameOf(outcome)}, {"tasks", worker.tasks.size()}});
    }
}

void JobScheduler::applyReport(WorkerState &worker, const RunReport &report, Instant sentAt)
{
    const Instant now = m_environment.clock.now();
    if (worker.incarnation != 0 && report.incarnation != worker.incarnation) {
        if (report.incarnation < worker.incarnation) {
            return;
        }
        workerRestarted(worker, report.incarnation);
    }
    const bool firstOfIncarnation = worker.incarnation != report.incarnation || !worker.clock.isKnown();
    worker.incarnation = report.incarnation;
    // The first report of an incarnation tells its clock, whenever it was asked for.
    worker.clock.observe(report.workerClock, firstOfIncarnation ? now : sentAt, now);
    worker.full = false;
    if (!worker.contacted) {
        worker.contacted = true;
        m_inheritedWorkers.erase(worker.listing.name);
    }
    for (const EndedTask &ended : report.ended) {
        if (ended.number > worker.processedEnd) {
            applyEnd(worker, ended);
            worker.processedEnd = ended.number;
        }
    }
    std::set<RunName> listed;
    for (const RunningTask &running : report.running) {
        listed.insert(running.run);
        applyRunning(worker, running, sentAt);
    }
    std::erase_if(worker.strays, [&listed](const RunName &run) { return !listed.contains(run); });
    if (!report.truncated) {
        settleMissing(worker, listed, sentAt);
    }
    moveStalledTasks(worker);
    evacuate(worker);
    readPressure(worker);
    controlPace(worker);
    if (worker.processedEnd > worker.recordedEnd) {
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
        noteProgress(*task, running);
        return;
    }
    if (adopt(worker, running, sentAt)) {
        return;
    }
    const bool known = worker.strays.contains(running.run);
    worker.strays.insert(running.run);
    if (!known) {
        m_environment.listener.logDecision(
            "stray-run-stopped", running.run.task.text(), {{"worker", worker.listing.name}, {"run", running.run.run}});
    }
    stopStray(worker, running.run);
}

bool JobScheduler::adopt(WorkerState &worker, const RunningTask &running, Instant sentAt)
{
    TaskState *task = findTask(running.run.task);
    if (task == nullptr || task->phase != RunPhase::Waiting || task->run >= running.run.run) {
        return false;
    }
    JobState &job = *task->step->occurrence->job;
    if (!job.inherited || job.isFinished()) {
        return false;
    }
    place(*task, worker, running.run.run);
    markRunning(*task, sentAt);
    noteProgress(*task, running);
    return true;
}

void JobScheduler::noteProgress(TaskState &task, const RunningTask &running)
{
    if (running.percent != task.percent) {
        task.percent = running.percent;
        task.progressedAt = m_environment.clock.now();
    }
    task.usage = running.usage;
    if (!running.checkpoint.empty()) {
        task.checkpoint = running.checkpoint;
    }
}

void JobScheduler::settleMissing(WorkerState &worker, const std::set<RunName> &listed, Instant sentAt)
{
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        const bool settled
            = !task->orderOpen && task->lastOrderAnswered != Instant() && task->lastOrderAnswered < sentAt;
        if (task->phase == RunPhase::Starting || !settled || listed.contains({nameOf(*task), task->run})) {
            continue;
        }
        if (task->phase == RunPhase::Running) {
            m_environment.listener.logDecision(
                "run-missing", nameOf(*task).text(), {{"worker", worker.listing.name}, {"run", task->run}});
        }
        release(*task, Milliseconds(0));
    }
}

void JobScheduler::evacuate(WorkerState &worker)
{
    if (!worker.listing.draining || m_authority != SchedulingAuthority::Full) {
        return;
    }
    const Instant now = m_environment.clock.now();
    worker.drainingSince = worker.drainingSince.value_or(now);
    const auto drained = std::chrono::duration_cast<Milliseconds>(now - *worker.drainingSince);
    const Milliseconds left = std::max(Milliseconds(0), m_limits.drain - drained - DrainMargin);
    const bool late = left < m_limits.drain / 2;
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        const StepSpecification &step = task->step->specification();
        if (task->phase != RunPhase::Running || step.gang) {
            continue;
        }
        const Milliseconds remaining = step.estimate * (100 - task->percent) / 100;
        const bool outlasts = step.longRunning || remaining > left;
        const bool worthMoving = step.longRunning || step.checkpoints || task->percent < CheapPercent;
        if (!outlasts || !worthMoving || choose(*task->step, *task) == nullptr) {
            continue;
        }
        // The tasks of one step go one after the other as long as there is time.
        if (step.longRunning && !late && isStepDisturbed(*task->step)) {
            continue;
        }
        m_environment.listener.logDecision("run-evacuated", nameOf(*task).text(),
            {{"worker", worker.listing.name}, {"percent", task->percent}, {"drained_ms", drained.count()}});
        beginStop(*task);
    }
}

bool JobScheduler::isStepDisturbed(const StepState &step)
{
    constexpr int AtWork = 100;
    const int away = static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(), [](const TaskState &task) {
        // What other partitions run is theirs to watch.
        return task.phase != RunPhase::Delegated && (task.phase != RunPhase::Running || task.percent < AtWork);
    }));
    return away >= std::max(1, step.specification().disruptionBudget);
}

void JobScheduler::moveStalledTasks(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        const StepSpecification &step = task->step->specification();
        const bool judged = task->phase == RunPhase::Running && !step.backfills && !step.gang && !step.longRunning;
        const Milliseconds allowed = std::max(StallTime, step.estimate / 2);
        if (!judged || now - task->progressedAt < allowed) {
            continue;
        }
        m_environment.listener.logDecision("run-stalled", nameOf(*task).text(),
            {{"worker", worker.listing.name}, {"run", task->run}, {"percent", task->percent}});
        task->avoided.insert(worker.listing.name);
        noteFailure(worker, task->step->occurrence->job->specification.id);
        beginStop(*task);
    }
}

void JobScheduler::workerRestarted(WorkerState &worker, std::int64_t incarnation)
{
    m_environment.listener.logDecision("worker-restarted", worker.listing.name,
        {{"was", worker.incarnation}, {"is", incarnation}, {"tasks", worker.tasks.size()}});
    worker.incarnation = incarnation;
    worker.processedEnd = 0;
    worker.recordedEnd = 0;
    worker.strays.clear();
    worker.clock.reset(m_environment.clock.now());
    worker.leaseGrantedUntil = 0;
    worker.contacted = false;
    worker.full = false;
    worker.failuresInRow = 0;
    worker.quarantinedUntil = {};
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        if (task->phase == RunPhase::Starting && (task->uncertain || task->orderOpen)) {
            // The order may reach the new incarnation, which must refuse it before the task runs elsewhere.
            beginStop(*task);
        } else {
            release(*task, Milliseconds(0));
        }
    }
}

void JobScheduler::expireLeases(WorkerState &worker)
{
    const bool silent = worker.unansweredInRow > 0 && worker.clock.isKnown() && worker.leaseGrantedUntil > 0;
    if (!silent || m_environment.clock.now() < worker.clock.surelyPast(worker.leaseGrantedUntil)) {
        return;
    }
    if (worker.tasks.empty()) {
        return;
    }
    m_environment.listener.logDecision("worker-leases-over", worker.listing.name, {{"tasks", worker.tasks.size()}});
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        release(*task, Milliseconds(0));
    }
}

void JobScheduler::retryOrders(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    for (TaskState *task : worker.tasks) {
        if (task->orderOpen || now - task->lastOrderSent < OrderRetryPeriod) {
            continue;
        }
        const bool mayStart = m_authority == SchedulingAuthority::Full && worker.unansweredInRow == 0;
        if (task->phase == RunPhase::Starting && mayStart) {
            sendStart(*task);
        } else if (task->phase == RunPhase::Stopping) {
            sendStop(*task);
        }
    }
}

void JobScheduler::noteFailure(WorkerState &worker, const std::string &job)
{
    // A job that fails by its own fault says nothing about the worker, however many tasks it has there.
    if (worker.lastFailedJob == job) {
        return;
    }
    worker.lastFailedJob = job;
    ++worker.failuresInRow;
    if (worker.failuresInRow < FailuresBeforeQuarantine) {
        return;
    }
    const int doublings = std::min(worker.quarantines, MostQuarantineDoublings);
    const Milliseconds length = FirstQuarantine * (1 << doublings);
    ++worker.quarantines;
    // One more failure after the quarantine is enough for the next one.
    worker.failuresInRow = FailuresBeforeQuarantine - 1;
    worker.quarantinedUntil = m_environment.clock.now() + length;
    m_environment.listener.logDecision(
        "worker-quarantined", worker.listing.name, {{"milliseconds", length.count()}, {"job", job}});
}

}
