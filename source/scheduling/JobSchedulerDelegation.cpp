// JobScheduler: delegation of long-running tasks to other partitions, and tasks that they delegated to this one.
#include "scheduling/JobScheduler.h"
#include "scheduling/PlacementSurvey.h"

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
    openDelegated(job, tasks);
    restoreCrashHistories(job, progress);
    awaitOpenRuns(job);
}

void JobScheduler::addDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
    const std::vector<DelegatedTask> &tasks)
{
    const std::string id = specification.id;
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        JobState &job = *known->second;
        if (job.ownedElsewhere && !job.isFinished()) {
            acceptDelegated(job, tasks);
            dispatchSoon();
        }
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    job.ownedElsewhere = true;
    openDelegated(job, tasks);
    m_environment.listener.progressChanged(id);
}

void JobScheduler::openDelegated(JobState &job, const std::vector<DelegatedTask> &tasks)
{
    m_unfinishedJobs.push_back(&job);
    createDueOccurrences(job);
    markAllDelegated(job);
    acceptDelegated(job, tasks);
    dispatchSoon();
}

std::vector<UnplacedStep> JobScheduler::unplacedLongRunning(Milliseconds longerThan) const
{
    const Instant now = m_environment.clock.now();
    const bool recovering = isRecovering();
    std::vector<UnplacedStep> steps;
    for (const JobState *job : m_unfinishedJobs) {
        if (job->ownedElsewhere || job->specification.repeatCount > 0) {
            continue;
        }
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                const StepSpecification &specification = step.specification();
                const bool movable = specification.longRunning && !specification.gang && specification.after.empty();
                const int ready = readyCount(step, recovering);
                const bool waits = ready > 0 && step.unplacedSince && now - *step.unplacedSince > longerThan;
                if (movable && waits && surveyPlacement(m_workers, step, now).available == 0) {
                    steps.push_back({job->specification.id, step.number, ready});
                }
            }
        }
    }
    return steps;
}

std::vector<DelegatedTask> JobScheduler::delegate(const UnplacedStep &unplaced, const std::string &partition, int count)
{
    const auto found = m_jobs.find(unplaced.job);
    if (found == m_jobs.end() || found->second->isFinished()) {
        return {};
    }
    JobState &job = *found->second;
    const bool recovering = isRecovering();
    std::vector<DelegatedTask> all;
    for (auto &[number, occurrence] : job.occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &task : step.tasks) {
                const bool ready = task.phase == RunPhase::Waiting && !(recovering && mayRunUnknown(task));
                if (step.number == unplaced.step && ready && count > 0) {
                    --count;
                    --step.waitingCount;
                    task.phase = RunPhase::Delegated;
                    task.delegatedTo = partition;
                }
                if (task.delegatedTo == partition) {
                    all.push_back({nameOf(task), task.run});
                }
            }
        }
    }
    m_environment.listener.progressChanged(unplaced.job);
    return all;
}

}
