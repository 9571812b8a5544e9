// JobScheduler: start, stop and end of runs.
#include "scheduling/CrashClearance.h"
#include "scheduling/JobScheduler.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A refused task is placed again after this time, when the next reports of the workers have probably arrived.
constexpr Milliseconds RefusedDelay {50};
// Minimum time until an order that the worker could not parse is repeated.
constexpr Milliseconds MalformedDelay {2'000};
// A task whose run has ended is placed again at once.
constexpr Milliseconds NoDelay {0};

}

std::uint64_t JobScheduler::nextRun(const StepState &step, const TaskState &task) const
{
    const std::uint64_t last = step.specification().gang ? step.highestRun : task.run;
    return std::max(last + 1, m_firstRunNumber + task.lastRunElsewhere);
}

void JobScheduler::place(TaskState &task, WorkerState &worker, std::uint64_t run, int speedPercent)
{
    StepState &step = *task.step;
    task.run = run;
    step.highestRun = std::max(step.highestRun, run);
    task.phase = RunPhase::Starting;
    task.worker = worker.listing.name;
    task.nextPartition.clear();
    task.placedAt = m_environment.clock.now();
    task.deliveryUncertain = false;
    task.runStartedAt.reset();
    task.runConfirmed = false;
    task.runAdopted = false;
    task.isWithNextIncarnation = false;
    task.percent = 0;
    task.progressRequestedAt = {};
    task.speedPercent = speedPercent;
    task.speedSetAt = task.placedAt;
    task.isProbe = false;
    task.usage = 0;
    task.overTargetSince.reset();
    task.isNearLimitByItself = false;
    task.pausedSince.reset();
    task.slowedSince.reset();
    --step.waitingCount;
    ++task.placements;
    task.times.begin(TaskActivity::Ordering, m_environment.clock.now());
    worker.addTask(task);
    if (step.specification().backfills) {
        worker.backfilling.push_back({step.image, worker.processorShare(step.specification()), 0.0, speedPercent});
    }
}

void JobScheduler::markJobStarted(JobState &job)
{
    if (!job.hasStarted && !job.isFinished()) {
        job.hasStarted = true;
        setPhase(job, JobPhase::Running);
    }
}

void JobScheduler::sendStart(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr || !worker->clock.isKnown() || !mayGrantLease(*worker)) {
        return;
    }
    const RunName name {nameOf(task), task.run};
    StartOrder order;
    order.run = name;
    order.payload = task.step->occurrence->job->specification.payload;
    order.checkpoint = task.checkpoint;
    order.ticket = ticketFor(*task.step, task.worker);
    order.leaseUntil = grantLease(*worker);
    task.orderPending = true;
    task.isPlaceKnown = true;
    task.mayHaveBeenRenewed = false;
    const Instant sentAt = m_environment.clock.now();
    task.lastOrderSent = sentAt;
    task.runStartedAt = task.runStartedAt.value_or(sentAt);
    worker->unsettledStarts.sent();
    m_environment.gateway.start(target(*worker), order,
        [weak = std::weak_ptr(m_self), name, workerName = worker->listing.name, sentAt](const OrderAnswer &answer) {
            if (const auto self = weak.lock()) {
                (*self)->onStartAnswer(name, workerName, sentAt, answer);
            }
        });
}

AnsweringIncarnation JobScheduler::observeAnswer(WorkerState &worker, const OrderAnswer &answer, Instant sentAt)
{
    if (!answer.workerClock) {
        const bool nothingDone
            = answer.outcome == OrderOutcome::OtherIncarnation || answer.outcome == OrderOutcome::Unhealthy;
        return nothingDone ? AnsweringIncarnation::Known : AnsweringIncarnation::Unclear;
    }
    const AnsweringIncarnation incarnation = worker.clock.incarnationOf(*answer.workerClock, sentAt);
    if (incarnation == AnsweringIncarnation::Known) {
        worker.clock.observe(*answer.workerClock, sentAt, m_environment.clock.now());
        worker.lastContact = m_environment.clock.now();
    }
    return incarnation;
}

void JobScheduler::onStartAnswer(
    const RunName &run, const std::string &workerName, Instant sentAt, const OrderAnswer &answer)
{
    WorkerState *worker = findWorker(workerName);
    AnsweringIncarnation incarnation = AnsweringIncarnation::Unclear;
    if (worker != nullptr) {
        incarnation = observeAnswer(*worker, answer, sentAt);
        worker->unsettledStarts.answered(incarnation, m_environment.clock.now(), longestLeaseExpiry());
        if (answer.outcome == OrderOutcome::Unknown) {
            worker->lateStarts.unanswered(run, m_environment.clock.now());
        }
    }
    TaskState *task = findTask(run.task);
    if (worker == nullptr || task == nullptr || task->run != run.run || task->worker != workerName) {
        return;
    }
    task->orderPending = false;
    if (task->phase != RunPhase::Starting) {
        task->deliveryUncertain = task->deliveryUncertain || answer.outcome == OrderOutcome::Unknown;
        return;
    }
    const Instant now = m_environment.clock.now();
    task->lastOrderAnswered = now;
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Superseded:
        // A superseded run has already ended on the worker, which reports the end.
        task->isWithNextIncarnation = incarnation == AnsweringIncarnation::Next;
        markRunning(*task, now);
        return;
    case OrderOutcome::Unknown:
        task->deliveryUncertain = true;
        m_environment.listener.logDecision(
            "start-unanswered", run.task.text(), {{"worker", workerName}, {"run", run.run}});
        return;
    default:
        onStartRefused(*task, *worker, answer.outcome);
    }
}

void JobScheduler::markRunning(TaskState &task, Instant answeredAt)
{
    task.phase = RunPhase::Running;
    task.progressedAt = m_environment.clock.now();
    task.times.begin(TaskActivity::Running, task.progressedAt);
    task.lastOrderAnswered = answeredAt;
    task.runStartedAt = task.runStartedAt.value_or(task.progressedAt);
    task.runConfirmed = true;
    markJobStarted(*task.step->occurrence->job);
    // Workers start all tasks at full speed.
    if (task.isProbe) {
        sendThrottle(task, task.speedPercent);
    }
}

void JobScheduler::onStartRefused(TaskState &task, WorkerState &worker, OrderOutcome outcome)
{
    m_environment.listener.logDecision("start-refused", nameOf(task).text(),
        {{"worker", worker.listing.name}, {"run", task.run}, {"outcome", nameOf(outcome)},
            {"free_millicores", worker.freeResources().milliCores},
            {"free_memory_mb", worker.freeResources().memoryMegabytes}});
    if (outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(worker.listing.name);
        return;
    }
    if (outcome == OrderOutcome::TicketRefused) {
        task.step->permissions.erase(worker.listing.name);
    }
    worker.refusedForCapacity = worker.refusedForCapacity || outcome == OrderOutcome::NoRoom;
    if (outcome == OrderOutcome::Unhealthy) {
        recordFailure(worker, task.step->occurrence->job->specification.id);
        task.avoidedWorkers.insert(worker.listing.name);
    }
    if (task.deliveryUncertain) {
        // An earlier start order of this run may still arrive, so this refusal does not rule out that the task runs.
        beginStop(task);
        return;
    }
    requeue(task, outcome == OrderOutcome::Malformed ? MalformedDelay : RefusedDelay);
}

void JobScheduler::beginStop(TaskState &task)
{
    task.phase = RunPhase::Stopping;
    task.times.begin(TaskActivity::Ordering, m_environment.clock.now());
    task.lastOrderAnswered = {};
    sendStop(task);
}

void JobScheduler::withdrawStart(TaskState &task)
{
    const WorkerState *worker = findWorker(task.worker);
    m_environment.listener.logDecision("start-withdrawn", nameOf(task).text(),
        {{"worker", task.worker}, {"run", task.run}, {"over_capacity", worker != nullptr && worker->isOverCapacity()}});
    if (!task.step->specification().gang) {
        beginStop(task);
        return;
    }
    for (TaskState &member : task.step->tasks) {
        const bool active = member.phase == RunPhase::Starting || member.phase == RunPhase::Running;
        if (active && member.run == task.run) {
            beginStop(member);
        }
    }
}

void JobScheduler::sendStop(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr) {
        return;
    }
    const RunName name {nameOf(task), task.run};
    const Instant sentAt = m_environment.clock.now();
    task.orderPending = true;
    task.lastOrderSent = sentAt;
    m_environment.gateway.stop(target(*worker), name,
        [weak = std::weak_ptr(m_self), name, workerName = worker->listing.name, sentAt](const OrderAnswer &answer) {
            if (const auto self = weak.lock()) {
                (*self)->onStopAnswer(name, workerName, sentAt, answer);
            }
        });
}

void JobScheduler::onStopAnswer(
    const RunName &run, const std::string &workerName, Instant sentAt, const OrderAnswer &answer)
{
    WorkerState *worker = findWorker(workerName);
    if (worker != nullptr) {
        observeAnswer(*worker, answer, sentAt);
    }
    if (answer.outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(workerName);
    }
    TaskState *task = findTask(run.task);
    if (task == nullptr || task->run != run.run || task->worker != workerName || task->phase != RunPhase::Stopping) {
        return;
    }
    task->orderPending = false;
    const bool settled = answer.outcome == OrderOutcome::Accepted || answer.outcome == OrderOutcome::Superseded;
    if (settled) {
        // A report that was requested after the first answer shows whether the run has ended. Later answers would
        // always be newer than the last report.
        if (task->lastOrderAnswered == Instant()) {
            task->lastOrderAnswered = m_environment.clock.now();
        }
        if (worker != nullptr) {
            requestReport(*worker);
        }
    }
}

void JobScheduler::stopObsolete(WorkerState &worker, const RunName &run)
{
    const Instant sentAt = m_environment.clock.now();
    worker.obsoleteRuns.stopSent(run, sentAt);
    m_environment.gateway.stop(target(worker), run,
        [weak = std::weak_ptr(m_self), name = worker.listing.name, run, sentAt](const OrderAnswer &answer) {
            if (const auto self = weak.lock()) {
                (*self)->onObsoleteStopAnswer(name, run, sentAt, answer);
            }
        });
}

void JobScheduler::onObsoleteStopAnswer(
    const std::string &workerName, const RunName &run, Instant sentAt, const OrderAnswer &answer)
{
    if (answer.outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(workerName);
    }
    WorkerState *worker = findWorker(workerName);
    if (worker == nullptr) {
        return;
    }
    worker->obsoleteRuns.stopAnswered(run, answer.outcome, sentAt, m_environment.clock.now());
    requestReport(*worker);
}

void JobScheduler::detach(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker != nullptr) {
        worker->removeTask(task);
    }
    task.worker.clear();
    // An earlier owner may have learned of the end of an adopted run as well, and have started the task again, or the
    // steps after it, on workers that have not answered under this term.
    const bool ranOnAfterEarlierStarts
        = task.runAdopted && m_leaseHandover.haveEarlierStartsEnded(task.progressRequestedAt);
    task.isPlaceKnown
        = task.isPlaceKnown || ranOnAfterEarlierStarts || (task.runAdopted && recoveryStage() == RecoveryStage::Over);
    closeOpenRun(task, task.run);
    task.awaitsRecording = false;
    task.orderPending = false;
    task.deliveryUncertain = false;
    dispatchSoon();
}

void JobScheduler::requeue(TaskState &task, Milliseconds delay)
{
    detach(task);
    if (task.phase == RunPhase::Done) {
        return;
    }
    task.phase = RunPhase::Waiting;
    ++task.step->waitingCount;
    const Instant now = m_environment.clock.now();
    task.times.begin(TaskActivity::Waiting, now);
    task.idleSince = task.idleSince.value_or(now);
    task.notBefore = now + delay;
}

void JobScheduler::applyEnd(WorkerState &worker, const EndedTask &ended)
{
    worker.obsoleteRuns.ended(ended.run);
    TaskState *task = findTask(ended.run.task);
    if (task == nullptr) {
        return;
    }
    const bool current = task->worker == worker.listing.name && task->run == ended.run.run;
    closeOpenRun(*task, ended.run.run);
    JobState &job = *task->step->occurrence->job;
    markJobStarted(job);
    if (current && !ended.checkpoint.empty() && ended.end != RunEnd::Done) {
        task->checkpoint = ended.checkpoint;
        task->checkpointAt = m_environment.clock.now();
        m_environment.listener.progressChanged(job.specification.id);
    }
    if (ended.end == RunEnd::Failed) {
        applyFailure(*task, worker, ended.run, current);
        return;
    }
    const bool longRunning = task->step->specification().longRunning;
    if (ended.end != RunEnd::Done || longRunning || job.isFinished()) {
        if (ended.end != RunEnd::Done && ended.end != RunEnd::Stopped) {
            m_environment.listener.logDecision("run-ended", ended.run.task.text(),
                {{"worker", worker.listing.name}, {"run", ended.run.run}, {"end", nameOf(ended.end)}});
        }
        if (current) {
            requeue(*task, NoDelay);
        }
        return;
    }
    worker.consecutiveFailures = 0;
    if (!current) {
        m_environment.listener.logDecision("earlier-run-done", ended.run.task.text(),
            {{"worker", worker.listing.name}, {"run", ended.run.run}, {"phase", nameOf(task->phase)},
                {"current_worker", task->worker}, {"current_run", task->run}});
    }
    if (current) {
        detach(*task);
    }
    // An end as done represents all members of a gang, also those of which this term knows no run or another one.
    if (!task->step->specification().gang) {
        completeByRun(*task, ended.run.run, current);
        return;
    }
    for (TaskState &member : task->step->tasks) {
        completeByRun(member, ended.run.run, current);
    }
}

void JobScheduler::completeByRun(TaskState &task, std::uint64_t run, bool isCurrent)
{
    if (task.phase == RunPhase::Done) {
        return;
    }
    // The worker of a member that took part in the run lists its end as well.
    const bool isMemberOfRun = task.step->specification().gang && task.run == run;
    if (!task.worker.empty() && !isMemberOfRun) {
        discardRun(task);
    }
    // The last owner may have noted the end of another run than the current one and opened the steps after this one.
    task.isPlaceKnown = task.isPlaceKnown && isCurrent;
    completeTask(task);
}

void JobScheduler::discardRun(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    const RunName obsolete {nameOf(task), task.run};
    detach(task);
    if (worker != nullptr) {
        const Instant lastStart = worker->clock.isKnown() ? worker->leaseExpiry().value_or(m_environment.clock.now())
                                                          : longestLeaseExpiry();
        worker->obsoleteRuns.add(obsolete, lastStart);
        stopObsolete(*worker, obsolete);
    }
}

void JobScheduler::applyFailure(TaskState &task, WorkerState &worker, const RunName &run, bool current)
{
    JobState &job = *task.step->occurrence->job;
    const bool longRunning = task.step->specification().longRunning;
    recordFailure(worker, job.specification.id);
    const bool counted = !longRunning && task.phase != RunPhase::Done && task.failedRuns.insert(run.run).second;
    m_environment.listener.logDecision("run-failed", run.task.text(),
        {{"worker", worker.listing.name}, {"run", run.run}, {"failures", task.failedRuns.size()},
            {"attempts", job.policy.maximumAttempts}});
    if (counted) {
        task.avoidedWorkers.insert(worker.listing.name);
        if (!task.crashes.isEmpty()) {
            clearCrashes(task, run.run);
        }
        m_environment.listener.progressChanged(job.specification.id);
    }
    if (current) {
        requeue(task, NoDelay);
    }
    const bool exhausted = static_cast<int>(task.failedRuns.size()) >= job.policy.maximumAttempts;
    if (counted && exhausted && !job.isFinished()) {
        finish(job, JobPhase::Failed);
    }
}

}
