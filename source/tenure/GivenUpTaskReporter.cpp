#include "tenure/GivenUpTaskReporter.h"

#include "tenure/JobKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds RepeatPeriod {5'000};
// Delay before the store is asked again for the home partition of a job.
constexpr Milliseconds RetryDelay {300};

}

GivenUpTaskReporter::GivenUpTaskReporter(
    const Clock &clock, Store &store, const JobScheduler &jobScheduler, JobJournal &journal)
    : m_clock(clock), m_store(store), m_jobScheduler(jobScheduler), m_journal(journal)
{
}

GivenUpTaskReporter::~GivenUpTaskReporter()
{
    *m_alive = false;
}

void GivenUpTaskReporter::add(const std::string &job)
{
    m_dueAt.emplace(job, m_clock.now());
}

void GivenUpTaskReporter::tick()
{
    std::erase_if(m_dueAt, [this](const auto &entry) {
        const JobState *job = m_jobScheduler.find(entry.first);
        return job == nullptr || job->isFinished();
    });
    const Instant now = m_clock.now();
    std::vector<std::string> due;
    for (auto &[job, dueAt] : m_dueAt) {
        if (now >= dueAt) {
            dueAt = now + RepeatPeriod;
            due.push_back(job);
        }
    }
    for (const std::string &job : due) {
        findHome(job);
    }
}

void GivenUpTaskReporter::findHome(const std::string &job)
{
    m_store.read(JobKeys::home(job), [this, alive = m_alive, job](const Result<std::optional<StoreEntry>> &result) {
        if (!*alive) {
            return;
        }
        const auto *home = std::get_if<std::optional<StoreEntry>>(&result);
        const auto pending = m_dueAt.find(job);
        if (home == nullptr && pending != m_dueAt.end()) {
            pending->second = m_clock.now() + RetryDelay;
        } else if (home != nullptr && *home && !JobKeys::isRefused((*home)->value)) {
            send(job, (*home)->value);
        }
    });
}

void GivenUpTaskReporter::send(const std::string &job, const std::string &home)
{
    const JobState *state = m_jobScheduler.find(job);
    if (state == nullptr || state->isFinished()) {
        return;
    }
    const InboxEntry entry {InboxRequest::GiveUp, job, std::nullopt, givenUpTasks(*state)};
    if (entry.tasks.empty()) {
        m_dueAt.erase(job);
        return;
    }
    m_journal.put(JobKeys::inboxGivenUp(home, job), serialize(entry));
}

}
