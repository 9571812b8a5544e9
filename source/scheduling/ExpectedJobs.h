#pragma once

#include "scheduling/JobState.h"
#include "scheduling/TaskDelegation.h"

#include <memory>

namespace Wagtail
{

// Jobs of which other partitions may send tasks, as they would be here. What the placement advisor says of their steps
// is known when they arrive.
class ExpectedJobs
{
public:
    // Returns the job as it would be here with none of its tasks. Replaces what was expected of the job before, except
    // for the answers of the advisor.
    JobState &expect(
        const JobSpecification &specification, const QueuePolicy &policy, const std::vector<DelegatedTask> &tasks);

    // Returns a task of an expected job, or null.
    [[nodiscard]] TaskState *find(const TaskName &name);

    // Passes the answers of the advisor on to a job of this partition, which has arrived or got further tasks.
    void passPermissions(JobState &job);

    // Notes the answers of the advisor about a job of which some tasks are here already.
    void learnPermissions(const JobState &job);

    // Forgets the jobs that have not been expected anew for a while, and those that need no advice.
    void forgetOld(Instant now);

private:
    struct Entry
    {
        std::unique_ptr<JobState> job;
        // Unset until the first review after the job was expected.
        std::optional<Instant> seenAt;
    };

    std::map<std::string, Entry> m_jobs;
};

}
