// JobScheduler: places that are held for tasks, and the evacuation of draining workers.
#include "scheduling/Evacuation.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <utility>

namespace Wagtail
{

namespace
{

// Returns whether a task may need the place that is held for it soon. The run on a worker that does not answer any more
// can't be stopped, and the task may go on elsewhere only when its leases have expired.
bool isOnItsWay(const TaskState &task, const WorkerState *present)
{
    switch (task.phase) {
    case RunPhase::Waiting:
        return !task.step->occurrence->job->isFinished();
    case RunPhase::Stopping:
        return !task.step->occurrence->job->isFinished() && present != nullptr && present->consecutiveUnanswered == 0;
    case RunPhase::Running:
        return present != nullptr && present->listing.draining && present->consecutiveUnanswered == 0;
    default:
        return false;
    }
}

}

void JobScheduler::reviewHeldPlaces()
{
    const Instant now = m_environment.clock.now();
    for (auto &[name, worker] : m_workers) {
        if (worker.heldPlaces.isEmpty()) {
            continue;
        }
        const bool usable = acceptsTasks(worker, now) && m_leaseHandover.mayGrant(name) && !worker.isOverCapacity()
            && Resources().fitsInto(worker.freeBesideLongRunning());
        for (const auto &[taskName, until] : worker.heldPlaces.tasks()) {
            TaskState *task = findTask(taskName);
            receiveArrival(worker, taskName, task);
            const bool awaited
                = worker.heldPlaces.isForArrival(taskName) && (task == nullptr || task->phase == RunPhase::Delegated);
            const bool wanted = awaited
                || (task != nullptr && task->nextWorker == name && isOnItsWay(*task, findWorker(task->worker)));
            if (usable && wanted && now < until) {
                continue;
            }
            m_environment.listener.logDecision("held-place-released", taskName.text(),
                {{"place", name}, {"usable", usable}, {"wanted", wanted}, {"expired", now >= until}});
            worker.heldPlaces.release(taskName);
            if (task != nullptr && task->nextWorker == name) {
                task->nextWorker.clear();
            }
        }
    }
}

void JobScheduler::receiveArrival(WorkerState &worker, const TaskName &name, TaskState *task)
{
    const bool hasArrived = task != nullptr && task->phase == RunPhase::Waiting && task->nextWorker.empty();
    if (!hasArrived || !worker.heldPlaces.isForArrival(name)) {
        return;
    }
    if (task->step->specification().gang) {
        // The members are placed together, like those of any other gang.
        worker.heldPlaces.release(name);
    } else {
        worker.heldPlaces.markArrived(name);
        worker.heldPlaces.hold(*task, m_environment.clock.now() + LongestHold);
        task->nextWorker = worker.listing.name;
    }
}

void JobScheduler::placeHeldTasks(const RecoveryHolds &holds)
{
    const Instant now = m_environment.clock.now();
    for (auto &[name, worker] : m_workers) {
        if (worker.heldPlaces.isEmpty()) {
            continue;
        }
        for (const auto &[taskName, until] : worker.heldPlaces.tasks()) {
            TaskState *task = findTask(taskName);
            if (task == nullptr || !mayPlace(*task) || holds.isHeldBack(*task)) {
                continue;
            }
            if (!isHeldPlaceOpen(*task)) {
                // Batch tasks still use it.
                continue;
            }
            worker.heldPlaces.release(taskName);
            task->nextWorker.clear();
            // Since the place was held, runs may have been adopted on the worker, the routes may have changed, and
            // tasks may have come to be suspected of crashes.
            PlacementQuery query;
            query.step = task->step;
            query.pool = task->step->occurrence->job->policy.pool;
            query.avoidedWorkers = &task->avoidedWorkers;
            query.interference = &m_interference;
            query.now = now;
            query.hasFreeResources = true;
            // Otherwise the task looks for a place like any other.
            const IsolationQuery isolation {isolationStrictness(*task), now};
            if (placementCost(worker, query) && isPermitted(*task->step, worker)
                && isolationCost(*task, worker, isolation)) {
                placeHeldTask(*task, worker);
            }
        }
    }
}

void JobScheduler::placeHeldTask(TaskState &task, WorkerState &worker)
{
    StepState &step = *task.step;
    place(task, worker, nextRun(step, task));
    startPlaced({&task});
    if (step.waitingCount == 0) {
        step.lastWaitLogAt.reset();
        step.unplacedSince.reset();
    }
    logPlacement(step, {&task});
}

bool JobScheduler::isHeldPlaceOpen(const TaskState &task) const
{
    const auto found = m_workers.find(task.nextWorker);
    if (found == m_workers.end()) {
        return false;
    }
    const WorkerState &worker = found->second;
    const Resources unused = worker.listing.capacity - worker.used;
    const Resources claimed = worker.heldPlaces.claimedByOthers(nameOf(task));
    return WorkerState::countedDemand(task.step->specification()).fitsInto(unused - claimed);
}

bool JobScheduler::holdPlace(TaskState &task, FailedPlacements &failedHolds)
{
    const StepState &step = *task.step;
    if (failedHolds.covers(step)) {
        return false;
    }
    WorkerState *worker = m_failedPlacements.covers(step) ? nullptr : choose(step, task, std::nullopt, PlaceUse::Hold);
    if (worker == nullptr && step.specification().longRunning) {
        worker = chooseBusy(step, task);
    }
    if (worker == nullptr) {
        if (!task.crashes.isSuspect()) {
            failedHolds.add(step);
        }
        return false;
    }
    worker->heldPlaces.hold(task, m_environment.clock.now() + LongestHold);
    task.nextWorker = worker->listing.name;
    return true;
}

WorkerState *JobScheduler::chooseBusy(const StepState &step, const TaskState &task)
{
    if (step.specification().backfills) {
        return nullptr;
    }
    const Instant now = m_environment.clock.now();
    const IsolationQuery isolation {isolationStrictness(task), now};
    WorkerState *best = nullptr;
    for (auto &[name, worker] : m_workers) {
        // Reserved workers are for tasks that do not run at all.
        if (!couldTakeLater(worker, step, now) || m_reservedWorkers.contains(name) || !m_leaseHandover.mayGrant(name)
            || !isAdvised(worker, step) || !isolationCost(task, worker, isolation)) {
            continue;
        }
        if (best == nullptr || worker.freeResources().milliCores > best->freeResources().milliCores) {
            best = &worker;
        }
    }
    return best;
}

void JobScheduler::evacuateWorkers()
{
    const Instant now = m_environment.clock.now();
    std::vector<WorkerState *> draining;
    for (auto &[name, worker] : m_workers) {
        const bool answers = worker.hasAnswered && worker.consecutiveUnanswered == 0;
        if (worker.listing.draining && answers && !worker.tasks.empty()) {
            worker.drainingSince = worker.drainingSince.value_or(now);
            draining.push_back(&worker);
        }
    }
    // Those that may leave first come first.
    std::stable_sort(draining.begin(), draining.end(),
        [](const WorkerState *left, const WorkerState *right) { return *left->drainingSince < *right->drainingSince; });
    FailedPlacements failedHolds;
    for (WorkerState *worker : draining) {
        evacuate(*worker, failedHolds);
    }
}

void JobScheduler::evacuate(WorkerState &worker, FailedPlacements &failedHolds)
{
    const Instant now = m_environment.clock.now();
    const DrainProgress progress(*worker.drainingSince, worker.sawDrainBegin, m_limits.drain, now);
    // How much a batch task still has to do is known when its worker has just reported.
    const bool isReportNew = std::exchange(worker.hasNewReport, false);
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        const bool isStateKnown = isReportNew || task->step->specification().longRunning;
        if (!isStateKnown || !isToBeEvacuated(*task, progress)) {
            continue;
        }
        if (task->nextWorker.empty() && !holdPlace(*task, failedHolds)) {
            continue;
        }
        if (!isHeldPlaceOpen(*task) || !mayBeEvacuatedNow(*task, progress)) {
            continue;
        }
        HeldPlaces &places = m_workers.at(task->nextWorker).heldPlaces;
        places.hold(*task, now + LongestHold);
        places.claim(nameOf(*task));
        m_environment.listener.logDecision("run-evacuated", nameOf(*task).text(),
            {{"worker", worker.listing.name}, {"run", task->run}, {"percent", task->percent},
                {"drained_ms", progress.knownFor().count()}, {"place", task->nextWorker}});
        beginStop(*task);
    }
}

}
