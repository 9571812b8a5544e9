#include "scheduling/ExpectedJobs.h"

namespace Wagtail
{

namespace
{

// Requests for places are repeated about once a second.
constexpr Milliseconds Retention {5'000};

void copyPermissions(const JobState &from, JobState &to)
{
    for (const auto &[number, occurrence] : from.occurrences) {
        const auto found = to.occurrences.find(number);
        if (found == to.occurrences.end()) {
            continue;
        }
        for (std::size_t i = 0; i < occurrence.steps.size() && i < found->second.steps.size(); ++i) {
            auto &known = found->second.steps[i].permissions;
            for (const auto &[worker, permission] : occurrence.steps[i].permissions) {
                known.insert_or_assign(worker, permission);
            }
        }
    }
}

}

JobState &ExpectedJobs::expect(
    const JobSpecification &specification, const QueuePolicy &policy, const std::vector<DelegatedTask> &tasks)
{
    auto job = std::make_unique<JobState>();
    job->specification = specification;
    job->policy = policy;
    job->ownedElsewhere = true;
    createOccurrence(*job, 0);
    for (const DelegatedTask &delegated : tasks) {
        if (!job->occurrences.contains(delegated.task.occurrence)) {
            createOccurrence(*job, delegated.task.occurrence);
        }
    }
    markAllDelegated(*job);
    Entry &entry = m_jobs[specification.id];
    if (entry.job) {
        copyPermissions(*entry.job, *job);
    }
    entry = {std::move(job), std::nullopt};
    return *entry.job;
}

TaskState *ExpectedJobs::find(const TaskName &name)
{
    const auto found = m_jobs.find(name.job);
    return found == m_jobs.end() ? nullptr : found->second.job->find(name);
}

void ExpectedJobs::passPermissions(JobState &job)
{
    const auto expected = m_jobs.find(job.specification.id);
    if (expected != m_jobs.end()) {
        copyPermissions(*expected->second.job, job);
        m_jobs.erase(expected);
    }
}

void ExpectedJobs::learnPermissions(const JobState &job)
{
    const auto expected = m_jobs.find(job.specification.id);
    if (expected != m_jobs.end()) {
        copyPermissions(job, *expected->second.job);
    }
}

void ExpectedJobs::forgetOld(Instant now)
{
    for (auto item = m_jobs.begin(); item != m_jobs.end();) {
        Entry &entry = item->second;
        entry.seenAt = entry.seenAt.value_or(now);
        const bool isOld = !entry.job->policy.advised || now - *entry.seenAt >= Retention;
        item = isOld ? m_jobs.erase(item) : std::next(item);
    }
}

}
