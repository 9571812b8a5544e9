// The part of PartitionLeader that hands jobs over to other partitions as a whole, and takes them over.
#include "tenure/JobKeys.h"
#include "tenure/PartitionLeader.h"

namespace Wagtail
{

namespace
{

// A job leaves only if the store has answered within this time, since nothing of it can start until the store has
// recorded the change.
constexpr Milliseconds LongestSilenceBeforeDeparture {500};
// The home of a job is read again after this time if the store did not answer.
constexpr Milliseconds RetryPeriod {200};

}

void PartitionLeader::relocateJobs()
{
    if (!m_relocationSearch || !m_mayRelocateJobs || m_journal.isStoreUnavailable()) {
        return;
    }
    std::vector<JobRecord> demands;
    for (const std::vector<const TaskState *> &tasks : m_jobScheduler.jobsToRelocate()) {
        demands.push_back(placeDemand(tasks));
    }
    if (demands.empty()) {
        return;
    }
    m_seeksRoom = true;
    if (!m_storeContact.hasAnsweredWithin(LongestSilenceBeforeDeparture)) {
        m_storeContact.ask();
    }
    m_relocationSearch->seek(demands);
}

bool PartitionLeader::handOver(const std::string &partition, const std::string &id)
{
    if (m_termEnded || m_journal.isStoreUnavailable()
        || !m_storeContact.hasAnsweredWithin(LongestSilenceBeforeDeparture) || !m_jobScheduler.beginDeparture(id)) {
        return false;
    }
    const JobState &job = *m_jobScheduler.find(id);
    const JobRecord record {job.specification, job.policy, job.acceptedWall, {}};
    InboxEntry entry {InboxRequest::Move, id, std::nullopt};
    entry.partition = m_position.partition;
    m_environment.log("job-handed-over", id, {{"partition", partition}, {"queue", job.specification.queue}});
    m_journal.move(id,
        {{JobKeys::home(id), partition, std::nullopt, 0},
            {JobKeys::jobs(partition) + id, serialize(record), std::nullopt, 0},
            {JobKeys::progress(partition) + id, writeJson(describeProgress(job)), std::nullopt, 0},
            {JobKeys::inboxMove(partition, id, m_position.partition, nextMessage()), serialize(entry), std::nullopt,
                0}},
        {JobKeys::jobs(m_position.partition) + id, JobKeys::progress(m_position.partition) + id,
            JobKeys::inboxSubmission(m_position.partition, id)},
        [this, id] { onHandedOver(id); });
    return true;
}

void PartitionLeader::onHandedOver(const std::string &id)
{
    m_storeContact.noteAnswer();
    m_jobScheduler.endDeparture(id);
    const auto [first, last] = m_cancellationsDuringDeparture.equal_range(id);
    std::vector<std::function<void(CancelOutcome)>> handlers;
    for (auto entry = first; entry != last; ++entry) {
        handlers.push_back(std::move(entry->second));
    }
    m_cancellationsDuringDeparture.erase(first, last);
    // The callers find the job's new partition in the store.
    for (const auto &handler : handlers) {
        handler(CancelOutcome::NotOwned);
    }
    applyKeptCancellation(id);
}

void PartitionLeader::receiveJob(const std::string &key, const InboxEntry &entry)
{
    const std::string &id = entry.job;
    if (m_jobScheduler.find(id) != nullptr) {
        m_journal.erase(key);
        return;
    }
    m_arrivals.read(id,
        [this, id, key, from = entry.partition](
            const std::optional<StoreEntry> &record, const std::optional<StoreEntry> &progress) {
            if (record) {
                restoreJob(*record, progress ? &progress->value : nullptr, JobOrigin::OtherPartition);
            }
            const JobState *job = m_jobScheduler.find(id);
            m_environment.log("job-received", id, {{"partition", from}, {"known", job != nullptr}});
            if (job != nullptr) {
                m_headrooms.refuse(from, job->policy.pool, id);
            }
            m_journal.erase(key);
            applyKeptCancellation(id);
        });
}

void PartitionLeader::passOnCancellation(const std::string &key, const std::string &id)
{
    m_environment.store.read(
        JobKeys::home(id), [this, alive = m_alive, key, id](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive || m_inbox.find(key) == nullptr) {
                return;
            }
            const auto *home = std::get_if<std::optional<StoreEntry>>(&result);
            if (home == nullptr || m_jobScheduler.find(id) != nullptr) {
                // Reads the home again, or applies the cancellation if the job has come meanwhile.
                m_environment.scheduler.after(RetryPeriod, [this, stillAlive = m_alive, key] {
                    if (*stillAlive) {
                        onInboxChanged(key);
                    }
                });
                return;
            }
            const bool exists = *home && !JobKeys::isRefused((*home)->value);
            if (exists && (*home)->value == m_position.partition) {
                m_environment.log("cancellation-kept", id, {{"reason", "the job is on its way to the partition"}});
                return;
            }
            if (exists) {
                m_environment.log("cancellation-passed-on", id, {{"partition", (*home)->value}});
                m_journal.put(JobKeys::inboxCancellation((*home)->value, id),
                    serialize(InboxEntry {InboxRequest::Cancel, id, std::nullopt}));
            } else {
                m_environment.log("cancellation-dropped", id, {{"reason", "no partition has the job"}});
            }
            m_journal.erase(key);
        });
}

}
