#pragma once

#include "scheduling/JobScheduler.h"
#include "tenure/JobJournal.h"

namespace Wagtail
{

// Reports delegated tasks that this partition has given up to the home partitions of their jobs, which alone may end
// the jobs. A report is repeated until the job has ended here, because an owner of an earlier version discards it. The
// recorded crashes lead to the report again after a take-over.
class GivenUpTaskReporter
{
public:
    GivenUpTaskReporter(const Clock &clock, Store &store, const JobScheduler &jobScheduler, JobJournal &journal);
    ~GivenUpTaskReporter();
    GivenUpTaskReporter(const GivenUpTaskReporter &) = delete;
    GivenUpTaskReporter &operator=(const GivenUpTaskReporter &) = delete;

    // Reports the tasks of the job that are given up.
    void add(const std::string &job);

    // Sends the reports that are due.
    void tick();

private:
    void findHome(const std::string &job);
    void send(const std::string &job, const std::string &home);

    const Clock &m_clock;
    Store &m_store;
    const JobScheduler &m_jobScheduler;
    JobJournal &m_journal;
    // When the report of each job is due.
    std::map<std::string, Instant> m_dueAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
