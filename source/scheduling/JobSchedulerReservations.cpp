// JobScheduler: places that are held here for tasks of other partitions, and tasks that look for places in those.
#include "scheduling/Evacuation.h"
#include "scheduling/JobScheduler.h"

#include <algorithm>

namespace Wagtail
{

std::set<TaskName> JobScheduler::holdPlacesFor(const JobSpecification &specification, const QueuePolicy &policy,
    const std::vector<DelegatedTask> &tasks, const std::set<TaskName> &onlyFree)
{
    std::set<TaskName> held;
    const auto known = m_jobs.find(specification.id);
    // The home partition of a job may get back what it has delegated.
    const bool mayArrive = known == m_jobs.end() || !known->second->isFinished();
    if (m_authority != SchedulingAuthority::Full || !isAuthorityCurrent() || !mayArrive) {
        return held;
    }
    JobState &arriving = m_expectedJobs.expect(specification, policyFor(specification.queue, policy), tasks);
    for (auto &[number, occurrence] : arriving.occurrences) {
        assignImageIds(occurrence);
    }
    if (known != m_jobs.end()) {
        m_expectedJobs.learnPermissions(*known->second);
    }
    std::set<int> refusedSteps;
    for (TaskState *task : acceptDelegated(arriving, tasks, DelegationSource::Message)) {
        // Tasks of the step that run here already count for its limit per worker.
        const TaskState *present = known == m_jobs.end() ? nullptr : known->second->find(nameOf(*task));
        const bool isHere = present != nullptr && present->phase != RunPhase::Delegated;
        if (isHere || refusedSteps.contains(task->step->number)) {
            continue;
        }
        const ArrivalPlace kind = onlyFree.contains(nameOf(*task)) ? ArrivalPlace::Free : ArrivalPlace::FreeOrBusy;
        if (holdArrivalPlace(*task, present == nullptr ? *task->step : *present->step, kind)) {
            held.insert(nameOf(*task));
        } else {
            refusedSteps.insert(task->step->number);
            if (arriving.policy.advised) {
                queryAdvisor(*task->step);
            }
        }
    }
    m_environment.listener.logDecision(
        "places-requested", specification.id, {{"tasks", tasks.size()}, {"held", held.size()}});
    return held;
}

bool JobScheduler::holdArrivalPlace(const TaskState &task, const StepState &step, ArrivalPlace kind)
{
    const Instant until = m_environment.clock.now() + LongestHold;
    const TaskName name = nameOf(task);
    for (auto &[workerName, worker] : m_workers) {
        if (worker.heldPlaces.isForArrival(name)) {
            worker.heldPlaces.holdForArrival(task, until);
            return true;
        }
    }
    WorkerState *open = choose(step, task, std::nullopt, PlaceUse::Hold);
    const bool mayBeBusy = open == nullptr && kind == ArrivalPlace::FreeOrBusy;
    WorkerState *worker = mayBeBusy ? chooseBusy(step, task) : open;
    if (worker == nullptr) {
        return false;
    }
    worker->heldPlaces.holdForArrival(task, until);
    if (worker == open) {
        worker->heldPlaces.claim(name);
    }
    return true;
}

std::vector<TaskState *> JobScheduler::tasksWithoutPlace(const UnplacedStep &unplaced)
{
    std::vector<TaskState *> tasks;
    const auto found = m_jobs.find(unplaced.job);
    if (found == m_jobs.end()) {
        return tasks;
    }
    const RecoveryHolds holds = recoveryHolds();
    for (auto &[number, occurrence] : found->second->occurrences) {
        for (TaskState &task : occurrence.steps[static_cast<std::size_t>(unplaced.step)].tasks) {
            if (isDelegable(task, holds)) {
                tasks.push_back(&task);
            }
        }
    }
    return tasks;
}

std::vector<TaskState *> JobScheduler::leavingTasksWithoutPlace()
{
    std::vector<TaskState *> tasks;
    const bool hasUnheardWorkers = std::any_of(m_workers.begin(), m_workers.end(), [](const auto &entry) {
        const WorkerState &worker = entry.second;
        return worker.listed && !worker.hasAnswered && worker.consecutiveUnanswered == 0;
    });
    // A new owner first hears its workers, which may have room.
    if (hasUnheardWorkers || !isWorkerListComplete(m_environment.clock.now())) {
        return tasks;
    }
    for (auto &[name, worker] : m_workers) {
        const bool answers = worker.hasAnswered && worker.consecutiveUnanswered == 0;
        if (!worker.listing.draining || !answers || !worker.drainingSince) {
            continue;
        }
        const DrainProgress progress(
            *worker.drainingSince, worker.sawDrainBegin, m_limits.drain, m_environment.clock.now());
        for (TaskState *task : worker.tasks) {
            const bool hasPlace = !task->nextWorker.empty() || !task->nextPartition.empty();
            if (hasMovableTasks(*task->step, m_dependents) && !hasPlace && mayCrashesLeave(*task)
                && isToBeEvacuated(*task, progress) && mayBeEvacuatedNow(*task, progress)) {
                tasks.push_back(task);
            }
        }
    }
    return tasks;
}

void JobScheduler::releasePlacesFor(const std::set<TaskName> &tasks)
{
    for (auto &[name, worker] : m_workers) {
        for (const TaskName &task : tasks) {
            if (worker.heldPlaces.isForArrival(task)) {
                worker.heldPlaces.release(task);
                dispatchSoon();
            }
        }
    }
}

RelocatedTasks JobScheduler::beginRelocation(const std::string &partition, const std::set<TaskName> &names)
{
    RelocatedTasks relocated;
    if (m_authority != SchedulingAuthority::Full || !isAuthorityCurrent()) {
        return relocated;
    }
    const RecoveryHolds holds = recoveryHolds();
    for (const TaskName &name : names) {
        TaskState *task = findTask(name);
        if (task == nullptr || !hasMovableTasks(*task->step, m_dependents)) {
            continue;
        }
        if (isDelegable(*task, holds)) {
            relocated.waiting[name.job].insert(name);
            continue;
        }
        const WorkerState *worker = findWorker(task->worker);
        const bool isLeaving = task->phase == RunPhase::Running && worker != nullptr && worker->listing.draining;
        if (!isLeaving || !task->nextWorker.empty() || !worker->drainingSince) {
            continue;
        }
        const DrainProgress progress(
            *worker->drainingSince, worker->sawDrainBegin, m_limits.drain, m_environment.clock.now());
        if (!mayBeEvacuatedNow(*task, progress)) {
            continue;
        }
        m_environment.listener.logDecision("run-evacuated", name.text(),
            {{"worker", worker->listing.name}, {"run", task->run}, {"percent", task->percent},
                {"partition", partition}});
        task->nextPartition = partition;
        task->nextPartitionUntil = m_environment.clock.now() + LongestHold;
        relocated.stopping.insert(name);
        beginStop(*task);
    }
    return relocated;
}

std::map<std::string, std::set<TaskName>> JobScheduler::stoppedForRelocation()
{
    std::map<std::string, std::set<TaskName>> stopped;
    const Instant now = m_environment.clock.now();
    const RecoveryHolds holds = recoveryHolds();
    for (JobState *job : m_unfinishedJobs) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (StepState &step : occurrence.steps) {
                for (TaskState &task : step.tasks) {
                    if (task.nextPartition.empty()) {
                        continue;
                    }
                    if (now >= task.nextPartitionUntil) {
                        task.nextPartition.clear();
                    } else if (isDelegable(task, holds)) {
                        stopped[task.nextPartition].insert(nameOf(task));
                    }
                }
            }
        }
    }
    return stopped;
}

void JobScheduler::delegate(const std::string &id, const std::set<TaskName> &tasks, const std::string &partition)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->isFinished() || found->second->ownedElsewhere || tasks.empty()) {
        return;
    }
    LeavingTasks leaving {*found->second, tasks.begin()->step, static_cast<int>(tasks.size()), m_firstRunNumber - 1};
    leaving.only = &tasks;
    delegateTasks(leaving, recoveryHolds(), partition);
    m_environment.listener.progressChanged(id);
}

std::vector<DelegatedTask> JobScheduler::giveBack(const std::string &id, const std::set<TaskName> &tasks)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->isFinished() || !found->second->ownedElsewhere || tasks.empty()) {
        return {};
    }
    LeavingTasks leaving {*found->second, tasks.begin()->step, static_cast<int>(tasks.size()), m_firstRunNumber - 1};
    leaving.only = &tasks;
    std::vector<DelegatedTask> returned = returnTasks(leaving, recoveryHolds());
    m_environment.listener.progressChanged(id);
    return returned;
}

}
