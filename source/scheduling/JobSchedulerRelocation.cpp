// JobScheduler: jobs that are handed over to another partition as a whole.
#include "scheduling/JobDeparture.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/RelocationCandidates.h"

#include <algorithm>

namespace Wagtail
{

void JobScheduler::setDependents(DependentSteps dependents)
{
    m_dependents = dependents;
}

std::vector<std::vector<const TaskState *>> JobScheduler::jobsToRelocate() const
{
    const Instant now = m_environment.clock.now();
    std::vector<std::vector<const TaskState *>> jobs;
    const bool mayBeListedAgain = std::any_of(
        m_workers.begin(), m_workers.end(), [now](const auto &entry) { return entry.second.mayBeListedAgain(now); });
    if (m_authority != SchedulingAuthority::Full || !isAuthorityCurrent() || mayBeListedAgain) {
        return jobs;
    }
    const RelocationCandidates candidates(m_workers, recoveryHolds(), now, m_dependents);
    for (const JobState *job : m_unfinishedJobs) {
        std::vector<const TaskState *> tasks = candidates.search(*job);
        if (!tasks.empty()) {
            jobs.push_back(std::move(tasks));
        }
    }
    return jobs;
}

bool JobScheduler::beginDeparture(const std::string &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || m_authority != SchedulingAuthority::Full || !isAuthorityCurrent()
        || !mayDepart(*found->second, recoveryHolds())) {
        return false;
    }
    prepareDeparture(*found->second, m_firstRunNumber - 1);
    found->second->isDeparting = true;
    return true;
}

void JobScheduler::endDeparture(const std::string &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return;
    }
    std::erase(m_unfinishedJobs, found->second.get());
    m_jobs.erase(found);
}

void JobScheduler::receive(
    JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall, const Json &progress)
{
    if (m_jobs.contains(specification.id)) {
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    restoreProgress(job, progress);
    if (job.isFinished()) {
        job.finishedAt = m_environment.clock.now();
        return;
    }
    createDueOccurrences(job);
    for (auto &[number, occurrence] : job.occurrences) {
        assignImageIds(occurrence);
    }
    prepareArrival(job);
    m_expectedJobs.passPermissions(job);
    m_unfinishedJobs.push_back(&job);
    dispatchSoon();
}

}
