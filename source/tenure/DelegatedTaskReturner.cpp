#include "tenure/DelegatedTaskReturner.h"

#include "tenure/JobKeys.h"

namespace Wagtail
{

DelegatedTaskReturner::DelegatedTaskReturner(
    Store &store, const JobScheduler &jobScheduler, JobJournal &journal, const JournalPosition &position)
    : m_store(store)
    , m_jobScheduler(jobScheduler)
    , m_journal(journal)
    , m_partition(position.partition)
    , m_term(position.term)
{
}

DelegatedTaskReturner::~DelegatedTaskReturner()
{
    *m_alive = false;
}

std::optional<std::string> DelegatedTaskReturner::homeOf(const std::string &job)
{
    const auto known = m_homes.find(job);
    if (known != m_homes.end()) {
        return known->second;
    }
    if (!m_asked.insert(job).second) {
        return std::nullopt;
    }
    m_store.read(JobKeys::home(job), [this, alive = m_alive, job](const Result<std::optional<StoreEntry>> &result) {
        if (!*alive) {
            return;
        }
        m_asked.erase(job);
        const auto *home = std::get_if<std::optional<StoreEntry>>(&result);
        if (home != nullptr && *home && !JobKeys::isRefused((*home)->value)) {
            m_homes[job] = (*home)->value;
        }
    });
    return std::nullopt;
}

void DelegatedTaskReturner::send(
    const std::string &job, const std::string &home, std::vector<DelegatedTask> tasks, const std::string &nextPartition)
{
    InboxEntry entry {InboxRequest::Return, job, std::nullopt, std::move(tasks)};
    entry.partition = m_partition;
    entry.nextPartition = nextPartition;
    const std::string message = std::to_string(m_term) + "." + std::to_string(m_nextMessage);
    ++m_nextMessage;
    m_journal.delegate(
        job, home, {{JobKeys::inboxReturn(home, job, m_partition, message), serialize(entry), std::nullopt, 0}});
}

void DelegatedTaskReturner::reportCrashes(const std::string &job)
{
    m_reports.insert(job);
}

void DelegatedTaskReturner::tick()
{
    std::erase_if(m_homes, [this](const auto &entry) { return m_jobScheduler.find(entry.first) == nullptr; });
    std::erase_if(m_reports, [this](const std::string &id) {
        const JobState *job = m_jobScheduler.find(id);
        if (job == nullptr || job->isFinished()) {
            return true;
        }
        std::vector<DelegatedTask> tasks = returnedTasks(*job);
        std::erase_if(tasks, [](const DelegatedTask &task) { return task.crashes.isEmpty(); });
        if (tasks.empty()) {
            return true;
        }
        const std::optional<std::string> home = homeOf(id);
        if (home) {
            send(id, *home, std::move(tasks));
        }
        return home.has_value();
    });
}

}
