// The part of JobScheduler that starts, stops and ends runs.
#include "scheduling/JobScheduler.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A refused task looks again after the workers' next reports are likely to have come.
constexpr Milliseconds RefusedDelay {50};
// An order that nobody understands is not repeated faster than this.
constexpr Milliseconds MalformedDelay {2'000};
// A task that ended through no fault of its own looks again at once.
constexpr Milliseconds NoDelay {0};

}

std::uint64_t JobScheduler::nextRun(const StepState &step, const TaskState &task) const
{
    const std::uint64_t last = step.specification().gang ? step.highestRun : task.run;
    return std::max(last + 1, m_firstRun + task.delegatedRun);
}

void JobScheduler::place(TaskState &task, WorkerState &worker, std::uint64_t run)
{
    StepState &step = *task.step;
    task.run = run;
    step.highestRun = std::max(step.highestRun, run);
    task.phase = RunPhase::Starting;
    task.worker = worker.listing.name;
    task.uncertain = false;
    task.percent = 0;
    task.pacePercent = 100;
    task.usage = 0;
    task.overSince.reset();
    task.slowedSince.reset();
    --step.waitingCount;
    worker.hold(task);
    if (step.specification().backfills) {
        worker.backfilling.push_back({step.image, worker.shareOf(step.specification()), 0.0, 100});
    }
}

void JobScheduler::noteStarted(JobState &job)
{
    if (!job.everStarted && !job.isFinished()) {
        job.everStarted = true;
        setPhase(job, JobPhase::Running);
    }
}

void JobScheduler::sendStart(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr || !worker->clock.isKnown()) {
        return;
    }
    const RunName name {nameOf(task), task.run};
    StartOrder order;
    order.run = name;
    order.payload = task.step->occurrence->job->specification.payload;
    order.checkpoint = task.checkpoint;
    order.ticket = ticketFor(*task.step, task.worker);
    order.leaseUntil = grantLease(*worker);
    task.orderOpen = true;
    const Instant sentAt = m_environment.clock.now();
    task.lastOrderSent = sentAt;
    m_environment.gateway.start(target(*worker), order,
        [weak = std::weak_ptr(m_self), name, workerName = worker->listing.name, sentAt](const OrderAnswer &answer) {
            if (const auto self = weak.lock()) {
                (*self)->onStartAnswer(name, workerName, sentAt, answer);
            }
        });
}

void JobScheduler::onStartAnswer(
    const RunName &run, const std::string &workerName, Instant sentAt, const OrderAnswer &answer)
{
    WorkerState *worker = findWorker(workerName);
    if (worker != nullptr && answer.workerClock) {
        worker->clock.observe(*answer.workerClock, sentAt, m_environment.clock.now());
    }
    TaskState *task = findTask(run.task);
    if (worker == nullptr || task == nullptr || task->run != run.run || task->worker != workerName) {
        return;
    }
    task->orderOpen = false;
    if (task->phase != RunPhase::Starting) {
        task->uncertain = task->uncertain || answer.outcome == OrderOutcome::Unknown;
        return;
    }
    const Instant now = m_environment.clock.now();
    task->lastOrderAnswered = now;
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Superseded:
        // A superseded run was there and has ended; its end is in the worker's list.
        markRunning(*task, now);
        return;
    case OrderOutcome::Unknown:
        task->uncertain = true;
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
    task.lastOrderAnswered = answeredAt;
    noteStarted(*task.step->occurrence->job);
}

void JobScheduler::onStartRefused(TaskState &task, WorkerState &worker, OrderOutcome outcome)
{
    m_environment.listener.logDecision("start-refused", nameOf(task).text(),
        {{"worker", worker.listing.name}, {"run", task.run}, {"outcome", nameOf(outcome)},
            {"free_millicores", worker.room().milliCores}, {"free_memory_mb", worker.room().memoryMegabytes}});
    if (outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(worker.listing.name);
        return;
    }
    if (outcome == OrderOutcome::TicketRefused) {
        task.step->permissions.erase(worker.listing.name);
    }
    worker.full = worker.full || outcome == OrderOutcome::NoRoom;
    if (outcome == OrderOutcome::Unhealthy) {
        noteFailure(worker, task.step->occurrence->job->specification.id);
        task.avoided.insert(worker.listing.name);
    }
    if (task.uncertain) {
        // An earlier order of this run may still arrive, so the refusal of this one settles nothing.
        beginStop(task);
        return;
    }
    release(task, outcome == OrderOutcome::Malformed ? MalformedDelay : RefusedDelay);
}

void JobScheduler::beginStop(TaskState &task)
{
    task.phase = RunPhase::Stopping;
    task.lastOrderAnswered = {};
    sendStop(task);
}

void JobScheduler::sendStop(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr) {
        return;
    }
    const RunName name {nameOf(task), task.run};
    const Instant sentAt = m_environment.clock.now();
    task.orderOpen = true;
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
    if (worker != nullptr && answer.workerClock) {
        worker->clock.observe(*answer.workerClock, sentAt, m_environment.clock.now());
    }
    if (answer.outcome == OrderOutcome::Fenced) {
        m_environment.listener.tokenRefused(workerName);
    }
    TaskState *task = findTask(run.task);
    if (task == nullptr || task->run != run.run || task->worker != workerName || task->phase != RunPhase::Stopping) {
        return;
    }
    task->orderOpen = false;
    const bool settled = answer.outcome == OrderOutcome::Accepted || answer.outcome == OrderOutcome::Superseded;
    if (settled) {
        task->lastOrderAnswered = m_environment.clock.now();
        if (worker != nullptr) {
            contact(*worker);
        }
    }
}

void JobScheduler::stopStray(WorkerState &worker, const RunName &run)
{
    m_environment.gateway.stop(
        target(worker), run, [weak = std::weak_ptr(m_self), name = worker.listing.name](const OrderAnswer &answer) {
            const auto self = weak.lock();
            if (self && answer.outcome == OrderOutcome::Fenced) {
                (*self)->m_environment.listener.tokenRefused(name);
            }
        });
}

void JobScheduler::detach(TaskState &task)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker != nullptr) {
        worker->drop(task);
    }
    task.worker.clear();
    task.orderOpen = false;
    task.uncertain = false;
    dispatchSoon();
}

void JobScheduler::release(TaskState &task, Milliseconds delay)
{
    detach(task);
    if (task.phase == RunPhase::Done) {
        return;
    }
    task.phase = RunPhase::Waiting;
    ++task.step->waitingCount;
    task.notBefore = m_environment.clock.now() + delay;
}

void JobScheduler::applyEnd(WorkerState &worker, const EndedTask &ended)
{
    worker.strays.erase(ended.run);
    TaskState *task = findTask(ended.run.task);
    if (task == nullptr) {
        return;
    }
    const bool current = task->worker == worker.listing.name && task->run == ended.run.run;
    JobState &job = *task->step->occurrence->job;
    noteStarted(job);
    if (current && !ended.checkpoint.empty() && ended.end != RunEnd::Done) {
        task->checkpoint = ended.checkpoint;
        m_environment.listener.progressChanged(job.specification.id);
    }
    if (ended.end == RunEnd::Failed) {
        applyFailure(*task, worker, ended.run, current);
        return;
    }
    const bool lasting = task->step->specification().longRunning;
    if (ended.end != RunEnd::Done || lasting || job.isFinished()) {
        if (ended.end != RunEnd::Done && ended.end != RunEnd::Stopped) {
            m_environment.listener.logDecision("run-ended", ended.run.task.text(),
                {{"worker", worker.listing.name}, {"run", ended.run.run}, {"end", nameOf(ended.end)}});
        }
        if (current) {
            release(*task, NoDelay);
        }
        return;
    }
    worker.failuresInRow = 0;
    if (task->phase != RunPhase::Done && !current && !task->worker.empty()) {
        // An earlier run of the task was done after all; the present one has become needless.
        WorkerState *other = findWorker(task->worker);
        const RunName present {ended.run.task, task->run};
        detach(*task);
        if (other != nullptr) {
            other->strays.insert(present);
            stopStray(*other, present);
        }
    }
    if (current) {
        detach(*task);
    }
    if (task->phase == RunPhase::Done) {
        return;
    }
    StepState &step = *task->step;
    completeTask(*task);
    if (!step.specification().gang) {
        return;
    }
    for (TaskState &member : step.tasks) {
        if (member.phase != RunPhase::Done && member.run == ended.run.run) {
            completeTask(member);
        }
    }
}

void JobScheduler::applyFailure(TaskState &task, WorkerState &worker, const RunName &run, bool current)
{
    JobState &job = *task.step->occurrence->job;
    const bool lasting = task.step->specification().longRunning;
    noteFailure(worker, job.specification.id);
    const bool counted = !lasting && task.phase != RunPhase::Done && task.failedRuns.insert(run.run).second;
    m_environment.listener.logDecision("run-failed", run.task.text(),
        {{"worker", worker.listing.name}, {"run", run.run}, {"failures", task.failedRuns.size()},
            {"attempts", job.policy.maximumAttempts}});
    if (counted) {
        task.avoided.insert(worker.listing.name);
        m_environment.listener.progressChanged(job.specification.id);
    }
    if (current) {
        release(task, NoDelay);
    }
    const bool exhausted = static_cast<int>(task.failedRuns.size()) >= job.policy.maximumAttempts;
    if (counted && exhausted && !job.isFinished()) {
        finish(job, JobPhase::Failed);
    }
}

}
