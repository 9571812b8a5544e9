// The part of JobKeeper that exchanges requests with entries and with other partitions through the store.
#include "tenure/JobKeeper.h"
#include "tenure/JobKeys.h"

namespace Wagtail
{

namespace
{

// Lasting tasks should be back at work within some seconds of any end, and a worker may free itself meanwhile.
constexpr Milliseconds DelegationAfter {1'500};

}

void JobKeeper::cancelDelegated(const JobState &job)
{
    const std::string &id = job.specification.id;
    for (const std::string &partition : job.delegates()) {
        m_journal.put(
            JobKeys::inboxCancellation(partition, id), serialize(InboxEntry {InboxRequest::Cancel, id, std::nullopt}));
    }
}

void JobKeeper::delegateUnplaced()
{
    if (m_rooms.empty()) {
        return;
    }
    for (const UnplacedStep &unplaced : m_jobs.unplacedLongRunning(DelegationAfter)) {
        const JobState &job = *m_jobs.find(unplaced.job);
        const StepSpecification &step = job.specification.steps[static_cast<std::size_t>(unplaced.step)];
        const std::optional<DelegationChoice> choice
            = chooseDelegate(step, job.policy.pool, unplaced.waiting, m_position.partition, m_rooms);
        if (!choice) {
            continue;
        }
        m_rooms[choice->partition][job.policy.pool].reserveForLongRunning(
            choice->count * WorkerState::countedDemand(step).milliCores);
        JobRecord record {job.specification, job.policy, job.acceptedWall, {}};
        record.delegated = m_jobs.delegate(unplaced, choice->partition, choice->count);
        m_environment.log("tasks-delegated", unplaced.job,
            {{"partition", choice->partition}, {"step", unplaced.step}, {"count", choice->count},
                {"waiting", unplaced.waiting}});
        const InboxEntry entry {InboxRequest::Delegate, unplaced.job, record};
        m_journal.delegate(unplaced.job,
            {{JobKeys::jobs(choice->partition) + unplaced.job, serialize(record), std::nullopt, 0},
                {JobKeys::inboxDelegation(choice->partition, unplaced.job), serialize(entry), std::nullopt, 0}});
    }
}

void JobKeeper::onInboxChanged(const std::string &key)
{
    const StoreEntry *entry = m_inbox.find(key);
    if (entry == nullptr) {
        return;
    }
    const Result<InboxEntry> parsed = parseInboxEntry(entry->value);
    if (const Error *error = errorOf(parsed)) {
        m_environment.log("inbox-unreadable", key, {{"error", error->detail}});
        m_journal.erase(key);
        return;
    }
    applyInbox(key, std::get<InboxEntry>(parsed));
}

void JobKeeper::applyInbox(const std::string &key, const InboxEntry &entry)
{
    m_environment.log("inbox-applied", entry.job, {{"request", nameOf(entry.request)}});
    if (entry.request == InboxRequest::Submit) {
        const JobRecord &record = *entry.record;
        m_jobs.add(record.specification, record.policy, record.acceptedWall);
        m_journal.erase(key);
        return;
    }
    if (entry.request == InboxRequest::Delegate) {
        const JobRecord &record = *entry.record;
        m_jobs.addDelegated(record.specification, record.policy, record.acceptedWall, record.delegated);
        m_journal.erase(key);
        return;
    }
    const JobState *job = m_jobs.find(entry.job);
    if (job == nullptr) {
        m_journal.erase(key);
        return;
    }
    cancelHere(*job, [this, key](bool) { m_journal.erase(key); });
}

}
