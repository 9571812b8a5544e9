// JobScheduler: delegation of long-running tasks to other partitions, and tasks that they delegated to this one.
#include "scheduling/CrashVerdict.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/PlacementSurvey.h"

#include <algorithm>

namespace Wagtail
{

void JobScheduler::restoreDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
    const Json &progress, const std::vector<DelegatedTask> &tasks)
{
    if (m_jobs.contains(specification.id)) {
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    job.ownedElsewhere = true;
    job.fromEarlierTerm = true;
    job.phase = jobPhaseFromName(memberOr(progress, "phase", std::string()));
    job.recordedPhase = job.phase;
    if (job.isFinished()) {
        job.finishedAt = m_environment.clock.now();
        return;
    }
    openDelegated(job, progress, tasks);
    awaitOpenRuns(job);
}

void JobScheduler::addDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
    const std::vector<DelegatedTask> &tasks)
{
    const std::string id = specification.id;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        JobState &job = *known->second;
        if (!job.ownedElsewhere || job.isFinished()) {
            return;
        }
        for (TaskState *task : acceptDelegated(job, tasks)) {
            if (judge(task->crashes) == CrashVerdict::GiveUp) {
                giveUp(*task);
            }
        }
        m_environment.listener.progressChanged(id);
        dispatchSoon();
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    job.ownedElsewhere = true;
    openDelegated(job, Json::object(), tasks);
    m_environment.listener.progressChanged(id);
}

void JobScheduler::openDelegated(JobState &job, const Json &progress, const std::vector<DelegatedTask> &tasks)
{
    m_unfinishedJobs.push_back(&job);
    createDueOccurrences(job);
    markAllDelegated(job);
    restoreCrashHistories(job, progress);
    acceptDelegated(job, tasks);
    dispatchSoon();
}

bool JobScheduler::isDelegable(const TaskState &task, const RecoveryHolds &holds)
{
    // A task whose lost runs may still decide its verdict, or may after one more crash, waits for them here, because
    // only this partition can ask their workers and the other one would judge that crash without them.
    return task.phase == RunPhase::Waiting && !holds.isHeldBack(task) && judge(task.crashes) == CrashVerdict::Retry
        && !mayLostRunsDecide(task.crashes);
}

bool JobScheduler::isWorkerListComplete(Instant now) const
{
    const bool anyListed
        = std::any_of(m_workers.begin(), m_workers.end(), [](const auto &entry) { return entry.second.listed; });
    return anyListed && std::none_of(m_workers.begin(), m_workers.end(), [now](const auto &entry) {
        return entry.second.mayBeListedAgain(now);
    });
}

std::vector<UnplacedStep> JobScheduler::unplacedLongRunning(Milliseconds longerThan) const
{
    const Instant now = m_environment.clock.now();
    const RecoveryHolds holds = recoveryHolds();
    std::vector<UnplacedStep> steps;
    if (!isWorkerListComplete(now)) {
        return steps;
    }
    for (const JobState *job : m_unfinishedJobs) {
        if (job->ownedElsewhere || job->specification.repeatCount > 0) {
            continue;
        }
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                const StepSpecification &specification = step.specification();
                const bool movable = specification.longRunning && !specification.gang && specification.after.empty();
                const auto ready = static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
                    [&holds](const TaskState &task) { return isDelegable(task, holds); }));
                const bool waits = ready > 0 && step.unplacedSince && now - *step.unplacedSince > longerThan;
                if (movable && waits && surveyPlacement(m_workers, step, now).available == 0) {
                    steps.push_back({job->specification.id, step.number, ready});
                }
            }
        }
    }
    return steps;
}

void JobScheduler::delegate(const UnplacedStep &unplaced, const std::string &partition, int count)
{
    const auto found = m_jobs.find(unplaced.job);
    if (found == m_jobs.end() || found->second->isFinished()) {
        return;
    }
    const RecoveryHolds holds = recoveryHolds();
    for (auto &[number, occurrence] : found->second->occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &task : step.tasks) {
                if (step.number != unplaced.step || count <= 0 || !isDelegable(task, holds)) {
                    continue;
                }
                --count;
                --step.waitingCount;
                task.phase = RunPhase::Delegated;
                task.delegatedTo = partition;
                // Runs of earlier terms are not known to this one, and the other partition must use none of their
                // numbers, because crashes are kept by run.
                task.run = std::max(task.run, m_firstRunNumber - 1);
            }
        }
    }
    m_environment.listener.progressChanged(unplaced.job);
}

bool JobScheduler::failDelegated(const std::string &id, const std::vector<DelegatedTask> &tasks)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->isFinished() || found->second->ownedElsewhere) {
        return false;
    }
    JobState &job = *found->second;
    for (const DelegatedTask &delegated : tasks) {
        const TaskState *task = delegated.task.job == id ? job.find(delegated.task) : nullptr;
        if (task != nullptr && task->phase == RunPhase::Delegated) {
            logGivenUp(delegated.task, delegated.crashes);
            finish(job, JobPhase::Failed);
            return true;
        }
    }
    return false;
}

}
