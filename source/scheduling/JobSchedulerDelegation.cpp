// JobScheduler: delegation of long-running tasks to other partitions, and tasks that they delegated to this one.
#include "scheduling/CrashVerdict.h"
#include "scheduling/JobScheduler.h"

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
    openDelegated(job, progress, tasks, DelegationSource::Record);
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
        m_expectedJobs.passPermissions(job);
        for (TaskState *task : acceptDelegated(job, tasks, DelegationSource::Message)) {
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
    openDelegated(job, Json::object(), tasks, DelegationSource::Message);
    m_expectedJobs.passPermissions(job);
    m_environment.listener.progressChanged(id);
}

void JobScheduler::openDelegated(
    JobState &job, const Json &progress, const std::vector<DelegatedTask> &tasks, DelegationSource source)
{
    m_unfinishedJobs.push_back(&job);
    createDueOccurrences(job);
    markAllDelegated(job);
    restoreDelegatedProgress(job, progress);
    acceptDelegated(job, tasks, source);
    dispatchSoon();
}

bool JobScheduler::isWorkerListComplete(Instant now) const
{
    const bool anyListed
        = std::any_of(m_workers.begin(), m_workers.end(), [](const auto &entry) { return entry.second.listed; });
    return anyListed && std::none_of(m_workers.begin(), m_workers.end(), [now](const auto &entry) {
        return entry.second.mayBeListedAgain(now);
    });
}

std::vector<UnplacedStep> JobScheduler::unplacedLongRunning() const
{
    const Instant now = m_environment.clock.now();
    std::vector<UnplacedStep> steps;
    if (!isWorkerListComplete(now)) {
        return steps;
    }
    const UnplacedTaskSearch search(m_workers, recoveryHolds(), now, m_dependents);
    for (const JobState *job : m_unfinishedJobs) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                if (std::optional<UnplacedStep> unplaced = search.search(step)) {
                    steps.push_back(*std::move(unplaced));
                }
            }
        }
    }
    return steps;
}

void JobScheduler::delegate(const UnplacedStep &unplaced, const std::string &partition, int count)
{
    const auto found = m_jobs.find(unplaced.job);
    if (found == m_jobs.end() || found->second->isFinished() || found->second->ownedElsewhere) {
        return;
    }
    delegateTasks({*found->second, unplaced.step, count, m_firstRunNumber - 1}, recoveryHolds(), partition);
    m_environment.listener.progressChanged(unplaced.job);
}

std::vector<DelegatedTask> JobScheduler::giveBack(const UnplacedStep &unplaced, int count)
{
    const auto found = m_jobs.find(unplaced.job);
    if (found == m_jobs.end() || found->second->isFinished() || !found->second->ownedElsewhere) {
        return {};
    }
    std::vector<DelegatedTask> tasks
        = returnTasks({*found->second, unplaced.step, count, m_firstRunNumber - 1}, recoveryHolds());
    m_environment.listener.progressChanged(unplaced.job);
    return tasks;
}

int JobScheduler::takeBack(const std::string &id, const std::string &partition, const std::vector<DelegatedTask> &tasks,
    const std::string &nextPartition)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second->isFinished() || found->second->ownedElsewhere) {
        return 0;
    }
    JobState &job = *found->second;
    const TakenBackTasks taken = Wagtail::takeBack(job, partition, tasks);
    for (TaskState *task : taken.waiting) {
        task->nextPartition = nextPartition;
        task->nextPartitionUntil = m_environment.clock.now() + LongestHold;
    }
    m_environment.listener.progressChanged(id);
    dispatchSoon();
    for (TaskState *task : taken.crashed) {
        if (job.isFinished()) {
            break;
        }
        if (judge(task->crashes) == CrashVerdict::GiveUp) {
            giveUp(*task);
        } else if (task->phase == RunPhase::Delegated) {
            m_environment.listener.delegatedTaskCrashed(id, task->delegatedTo);
        }
    }
    return static_cast<int>(taken.waiting.size());
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
