// The part of PartitionLeader that exchanges requests with other instances and other partitions through the store.
#include "tenure/JobKeys.h"
#include "tenure/PartitionLeader.h"

namespace Wagtail
{

namespace
{

// A long-running task should run again within a few seconds of any end. Delegation waits this long, because a worker of
// the home partition may become free.
constexpr Milliseconds DelegationDelay {1'500};

}

void PartitionLeader::cancelDelegated(const JobState &job)
{
    const std::string &id = job.specification.id;
    for (const std::string &partition : job.delegates()) {
        m_journal.put(
            JobKeys::inboxCancellation(partition, id), serialize(InboxEntry {InboxRequest::Cancel, id, std::nullopt}));
    }
}

void PartitionLeader::delegateUnplacedTasks()
{
    if (m_headrooms.empty()) {
        return;
    }
    for (const UnplacedStep &unplaced : m_jobScheduler.unplacedLongRunning(DelegationDelay)) {
        const JobState &job = *m_jobScheduler.find(unplaced.job);
        const StepSpecification &step = job.specification.steps[static_cast<std::size_t>(unplaced.step)];
        const std::optional<DelegationChoice> choice
            = chooseDelegate(step, job.policy.pool, unplaced.waiting, m_position.partition, m_headrooms);
        if (!choice) {
            continue;
        }
        m_headrooms[choice->partition][job.policy.pool].reserveForLongRunning(
            choice->count * WorkerState::countedDemand(step).milliCores);
        m_jobScheduler.delegate(unplaced, choice->partition, choice->count);
        m_environment.log("tasks-delegated", unplaced.job,
            {{"partition", choice->partition}, {"step", unplaced.step}, {"count", choice->count},
                {"waiting", unplaced.waiting}});
        sendDelegated(job, choice->partition);
    }
}

void PartitionLeader::sendDelegated(const JobState &job, const std::string &partition)
{
    const std::string &id = job.specification.id;
    const JobRecord record {job.specification, job.policy, job.acceptedWall, tasksDelegatedTo(job, partition)};
    const InboxEntry entry {InboxRequest::Delegate, id, record};
    m_journal.delegate(id, partition,
        {{JobKeys::jobs(partition) + id, serialize(record), std::nullopt, 0},
            {JobKeys::inboxDelegation(partition, id), serialize(entry), std::nullopt, 0}});
}

void PartitionLeader::delegatedTaskCrashed(const std::string &job, const std::string &partition)
{
    m_environment.log("crash-forwarded", job, {{"partition", partition}});
    sendDelegated(*m_jobScheduler.find(job), partition);
}

void PartitionLeader::delegatedTaskGivenUp(const std::string &job)
{
    m_givenUpReporter.add(job);
}

void PartitionLeader::onInboxChanged(const std::string &key)
{
    const StoreEntry *entry = m_inbox.find(key);
    if (entry == nullptr) {
        return;
    }
    const Result<InboxEntry> parsed = parseInboxEntry(entry->value);
    if (const Error *error = errorOf(parsed)) {
        m_environment.log("inbox-entry-unreadable", key, {{"error", error->detail}});
        m_journal.erase(key);
        return;
    }
    applyInboxEntry(key, std::get<InboxEntry>(parsed));
}

void PartitionLeader::applyInboxEntry(const std::string &key, const InboxEntry &entry)
{
    m_environment.log("inbox-entry-applied", entry.job, {{"request", nameOf(entry.request)}});
    if (entry.request == InboxRequest::Submit) {
        const JobRecord &record = *entry.record;
        m_jobScheduler.add(record.specification, record.policy, record.acceptedWall);
        m_journal.erase(key);
        return;
    }
    if (entry.request == InboxRequest::Delegate) {
        const JobRecord &record = *entry.record;
        m_jobScheduler.addDelegated(record.specification, record.policy, record.acceptedWall, record.delegated);
        m_journal.erase(key);
        return;
    }
    if (entry.request == InboxRequest::Cancel) {
        applyCancellation(key, entry.job);
        return;
    }
    const JobState *job = m_jobScheduler.find(entry.job);
    if (job == nullptr) {
        m_journal.erase(key);
        return;
    }
    failDelegated(*job, key, entry);
}

void PartitionLeader::applyCancellation(const std::string &key, const std::string &id)
{
    const JobState *job = m_jobScheduler.find(id);
    if (job != nullptr) {
        cancelLocally(*job, [this, key](bool) { m_journal.erase(key); });
        return;
    }
    if (m_journal.isAccepting(id)) {
        m_environment.log("cancellation-kept", id, {{"reason", "the outcome of the acceptance is unknown"}});
        return;
    }
    m_environment.log("cancellation-dropped", id, {{"reason", "the partition does not know the job"}});
    m_journal.erase(key);
}

void PartitionLeader::applyKeptCancellation(const std::string &id)
{
    const std::string key = JobKeys::inboxCancellation(m_position.partition, id);
    if (m_inbox.find(key) != nullptr) {
        onInboxChanged(key);
    }
}

void PartitionLeader::failDelegated(const JobState &job, const std::string &key, const InboxEntry &verdict)
{
    const bool concernsJob = m_jobScheduler.failDelegated(verdict.job, verdict.givenUp);
    if (!concernsJob && !job.isFinished()) {
        m_environment.log("verdict-ignored", verdict.job, {{"tasks", verdict.givenUp.size()}});
    }
    if (job.isFinished()) {
        // The verdict must not be lost before the store has the end of the job.
        whenEndRecorded(job, [this, key](bool) { m_journal.erase(key); });
    } else {
        m_journal.erase(key);
    }
}

}
