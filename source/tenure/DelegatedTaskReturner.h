#pragma once

#include "scheduling/JobScheduler.h"
#include "tenure/JobJournal.h"

#include <map>
#include <optional>
#include <set>

namespace Wagtail
{

// Sends tasks that were delegated to this partition back to the home partitions of their jobs. A message and the
// progress that shows it are one transaction, so that at most one of the two partitions has the task.
class DelegatedTaskReturner
{
public:
    DelegatedTaskReturner(
        Store &store, const JobScheduler &jobScheduler, JobJournal &journal, const JournalPosition &position);
    ~DelegatedTaskReturner();
    DelegatedTaskReturner(const DelegatedTaskReturner &) = delete;
    DelegatedTaskReturner &operator=(const DelegatedTaskReturner &) = delete;

    // Returns the home partition of the job. If it is not known yet, the store is asked for it.
    [[nodiscard]] std::optional<std::string> homeOf(const std::string &job);

    // Sends tasks that JobScheduler::giveBack() has returned. Names the partition that holds places for them, if there
    // is one.
    void send(const std::string &job, const std::string &home, std::vector<DelegatedTask> tasks,
        const std::string &nextPartition = {});

    // Sends the crashes that are known under the tasks of a job that were given back, as soon as its home is known.
    void reportCrashes(const std::string &job);

    // Sends the reports that are due.
    void tick();

private:
    Store &m_store;
    const JobScheduler &m_jobScheduler;
    JobJournal &m_journal;
    std::string m_partition;
    std::uint64_t m_term;
    // Identifies the next message among those of this term.
    std::uint64_t m_nextMessage = 0;
    // The home partitions by job. A job never changes it.
    std::map<std::string, std::string> m_homes;
    // Jobs whose home the store was asked for.
    std::set<std::string> m_asked;
    std::set<std::string> m_reports;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
