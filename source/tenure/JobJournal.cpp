#include "tenure/JobJournal.h"

#include "tenure/JobKeys.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Changes are collected for this long before they are written, because each call to the store has a cost.
constexpr Milliseconds UrgentBatchDelay {20};
constexpr Milliseconds BatchDelay {60};
// A transaction whose outcome is unknown is sent again after this time.
constexpr Milliseconds RetryPeriod {150};
// The platform's store accepts at most 32 conditions, writes and erasures per transaction.
constexpr std::size_t MaxTransactionEntries = 32;
// The conditions on the owner key and the head key, and the write of the head key.
constexpr std::size_t FixedEntries = 3;
// The condition on the job's home key, and the writes of the home key and of the job.
constexpr std::size_t EntriesPerAccept = 3;

}

JobJournal::JobJournal(Store &store, Scheduler &scheduler, JobJournalClient &client, JournalPosition position)
    : m_store(store), m_scheduler(scheduler), m_client(client), m_position(std::move(position))
{
}

JobJournal::~JobJournal()
{
    *m_alive = false;
    std::vector<PendingAccept> unanswered(
        std::make_move_iterator(m_accepts.begin()), std::make_move_iterator(m_accepts.end()));
    if (m_batch) {
        std::move(m_batch->accepts.begin(), m_batch->accepts.end(), std::back_inserter(unanswered));
        std::move(m_batch->flushHandlers.begin(), m_batch->flushHandlers.end(), std::back_inserter(m_flushHandlers));
    }
    for (const PendingAccept &accept : unanswered) {
        accept.handler({AcceptOutcome::Unknown, {}});
    }
    notifyFlushed();
}

void JobJournal::accept(JobRecord record, AcceptHandler handler, StoreRevision refusal)
{
    if (m_storeUnavailable) {
        handler({AcceptOutcome::StoreUnavailable, {}});
        return;
    }
    m_accepts.push_back({std::move(record), refusal, std::move(handler)});
    schedule(Urgency::High);
}

bool JobJournal::isAccepting(const std::string &job) const
{
    const auto concernsJob = [&job](const PendingAccept &accept) {
        return accept.record.specification.id == job;
    };
    return std::any_of(m_accepts.begin(), m_accepts.end(), concernsJob)
        || (m_batch && std::any_of(m_batch->accepts.begin(), m_batch->accepts.end(), concernsJob));
}

void JobJournal::progressChanged(const std::string &job, Urgency urgency)
{
    m_changed.add(job);
    schedule(urgency);
}

void JobJournal::delegate(const std::string &job, const std::string &partition, std::vector<StoreWrite> writes)
{
    PendingDelegation delegation {job, partition, std::move(writes)};
    std::erase_if(
        m_delegations, [&delegation](const PendingDelegation &earlier) { return delegation.replaces(earlier); });
    m_delegations.push_back(std::move(delegation));
    schedule(Urgency::High);
}

bool JobJournal::PendingDelegation::replaces(const PendingDelegation &earlier) const
{
    return job == earlier.job && writes.front().key == earlier.writes.front().key;
}

bool JobJournal::hasUnsentDelegation(const std::string &job) const
{
    return std::any_of(m_delegations.begin(), m_delegations.end(),
        [&job](const PendingDelegation &delegation) { return delegation.job == job; });
}

void JobJournal::move(const std::string &job, std::vector<StoreWrite> writes, std::vector<std::string> erasures,
    std::function<void()> handler)
{
    m_moves.push_back({job, std::move(writes), std::move(erasures), std::move(handler)});
    schedule(Urgency::High);
}

void JobJournal::eraseAfterProgress(const std::string &key, const std::string &job)
{
    m_erasuresAfterProgress[job].insert(key);
    progressChanged(job, Urgency::Low);
}

void JobJournal::requestSync()
{
    m_syncRequested = true;
    schedule(Urgency::Low);
}

void JobJournal::put(const std::string &key, std::string value)
{
    m_puts[key] = std::move(value);
    schedule(Urgency::Low);
}

void JobJournal::erase(const std::string &key)
{
    m_erasures.insert(key);
    schedule(Urgency::Low);
}

void JobJournal::flush(std::function<void()> handler)
{
    m_flushHandlers.push_back(std::move(handler));
    schedule(Urgency::High);
}

bool JobJournal::isStoreUnavailable() const
{
    return m_storeUnavailable;
}

bool JobJournal::hasChanges() const
{
    return !m_accepts.empty() || !m_delegations.empty() || !m_moves.empty() || !m_changed.isEmpty() || !m_puts.empty()
        || !m_erasures.empty();
}

bool JobJournal::isIdle() const
{
    return !hasChanges() && !m_syncRequested;
}

void JobJournal::schedule(Urgency urgency)
{
    m_urgent = m_urgent || urgency == Urgency::High;
    if (m_batch) {
        return;
    }
    if (m_urgent) {
        writeAfter(UrgentBatchDelay, m_urgentWriteScheduled);
    } else {
        writeAfter(BatchDelay, m_deferredWriteScheduled);
    }
}

void JobJournal::writeAfter(Milliseconds delay, bool &scheduled)
{
    if (scheduled) {
        return;
    }
    scheduled = true;
    m_scheduler.after(delay, [this, alive = m_alive, &scheduled] {
        if (*alive) {
            scheduled = false;
            write();
        }
    });
}

void JobJournal::write()
{
    if (m_batch) {
        return;
    }
    if (!hasChanges() && m_syncRequested) {
        // Nothing has changed since the last transaction, so the store is up to date.
        m_syncRequested = false;
        m_client.onSyncStarting();
        m_client.onSynced();
    }
    if (isIdle()) {
        notifyFlushed();
        return;
    }
    m_batch = Batch();
    fill(*m_batch);
    // Changes that did not fit into the transaction have already waited for the delay once.
    m_urgent = !isIdle();
    send();
}

void JobJournal::fill(Batch &batch)
{
    if (m_changed.beginRound()) {
        m_syncRequested = false;
        m_client.onSyncStarting();
    }
    StoreTransaction &transaction = batch.transaction;
    transaction.conditions = {{JobKeys::owner(m_position.partition), m_position.ownerRevision},
        {JobKeys::head(m_position.partition), m_position.headRevision}};
    transaction.writes.push_back(
        {JobKeys::head(m_position.partition), writeJson({{"tenure", m_position.term}}), std::nullopt, 0});
    std::size_t entries = FixedEntries;
    dropCancelledDelegations();
    // These are few, and workers get no lease before the record that names them is stored.
    while (!m_puts.empty() && entries < MaxTransactionEntries) {
        auto node = m_puts.extract(m_puts.begin());
        transaction.writes.push_back({node.key(), node.mapped(), std::nullopt, 0});
        batch.puts.insert(std::move(node));
        ++entries;
    }
    fillDelegations(batch, entries);
    fillMoves(batch, entries);
    // A job's progress shows its delegations, so it must not be written before the transaction that delegates them.
    // That of a job that is handed over is part of its move.
    std::set<std::string> jobsWrittenOtherwise;
    for (const PendingDelegation &delegation : m_delegations) {
        jobsWrittenOtherwise.insert(delegation.job);
    }
    for (const PendingMove &pending : m_moves) {
        jobsWrittenOtherwise.insert(pending.job);
    }
    while (entries < MaxTransactionEntries) {
        const std::optional<std::string> job = m_changed.take(jobsWrittenOtherwise);
        if (!job) {
            break;
        }
        writeProgress(batch, *job, entries);
    }
    batch.completesRound = m_changed.isRoundTaken();
    while (!m_accepts.empty() && entries + EntriesPerAccept <= MaxTransactionEntries) {
        PendingAccept accept = std::move(m_accepts.front());
        m_accepts.pop_front();
        const std::string &id = accept.record.specification.id;
        transaction.conditions.push_back({JobKeys::home(id), accept.refusal});
        transaction.writes.push_back({JobKeys::home(id), m_position.partition, std::nullopt, 0});
        transaction.writes.push_back(
            {JobKeys::jobs(m_position.partition) + id, serialize(accept.record), std::nullopt, 0});
        batch.accepts.push_back(std::move(accept));
        entries += EntriesPerAccept;
    }
    while (!m_erasures.empty() && entries < MaxTransactionEntries) {
        transaction.erasures.push_back(*m_erasures.begin());
        m_erasures.erase(m_erasures.begin());
        ++entries;
    }
    if (!hasChanges()) {
        batch.flushHandlers.swap(m_flushHandlers);
    }
}

void JobJournal::writeProgress(Batch &batch, const std::string &job, std::size_t &entries)
{
    if (auto erasures = m_erasuresAfterProgress.extract(job)) {
        m_erasures.insert(erasures.mapped().begin(), erasures.mapped().end());
        batch.erasuresAfterProgress.insert(std::move(erasures));
    }
    const auto progress = m_client.progressOf(job);
    if (!progress) {
        return;
    }
    batch.transaction.writes.push_back(
        {JobKeys::progress(m_position.partition) + job, progress->second, std::nullopt, 0});
    batch.phases.emplace_back(job, progress->first);
    ++entries;
}

void JobJournal::dropCancelledDelegations()
{
    // The other partition erases a cancellation of a job that it does not know, so one that came before the delegation
    // would have no effect.
    std::erase_if(m_delegations, [this](const PendingDelegation &delegation) {
        return m_puts.contains(JobKeys::inboxCancellation(delegation.partition, delegation.job));
    });
}

void JobJournal::fillDelegations(Batch &batch, std::size_t &entries)
{
    while (!m_delegations.empty()) {
        const PendingDelegation &next = m_delegations.front();
        const std::size_t delegationCount = static_cast<std::size_t>(std::count_if(m_delegations.begin(),
            m_delegations.end(), [&next](const PendingDelegation &delegation) { return delegation.job == next.job; }));
        // All delegations of a job are written together, because its progress shows all of them.
        if (entries + 1 + delegationCount * next.writes.size() > MaxTransactionEntries) {
            return;
        }
        const std::string job = next.job;
        std::deque<PendingDelegation> remaining;
        for (PendingDelegation &delegation : m_delegations) {
            if (delegation.job != job) {
                remaining.push_back(std::move(delegation));
                continue;
            }
            for (const StoreWrite &write : delegation.writes) {
                batch.transaction.writes.push_back(write);
                ++entries;
            }
            batch.delegations.push_back(std::move(delegation));
        }
        m_delegations = std::move(remaining);
        m_changed.erase(job);
        writeProgress(batch, job, entries);
    }
}

void JobJournal::fillMoves(Batch &batch, std::size_t &entries)
{
    while (!m_moves.empty()) {
        const std::size_t size = m_moves.front().writes.size() + m_moves.front().erasures.size();
        if (entries + size > MaxTransactionEntries) {
            return;
        }
        PendingMove next = std::move(m_moves.front());
        m_moves.pop_front();
        batch.transaction.writes.insert(batch.transaction.writes.end(), next.writes.begin(), next.writes.end());
        batch.transaction.erasures.insert(batch.transaction.erasures.end(), next.erasures.begin(), next.erasures.end());
        entries += size;
        // A transaction must not erase a key twice.
        for (const std::string &key : next.erasures) {
            m_erasures.erase(key);
        }
        m_changed.erase(next.job);
        if (auto erasures = m_erasuresAfterProgress.extract(next.job)) {
            m_erasures.insert(erasures.mapped().begin(), erasures.mapped().end());
            batch.erasuresAfterProgress.insert(std::move(erasures));
        }
        batch.moves.push_back(std::move(next));
    }
}

void JobJournal::send()
{
    m_store.commit(m_batch->transaction, [this, alive = m_alive](const Result<StoreTransactionResult> &result) {
        if (*alive) {
            onResult(result);
        }
    });
}

void JobJournal::onResult(const Result<StoreTransactionResult> &result)
{
    if (const auto *commit = std::get_if<StoreTransactionResult>(&result)) {
        m_storeUnavailable = false;
        if (commit->committed) {
            onCommitted(commit->revision);
        } else {
            onRefused(*commit);
        }
        return;
    }
    m_storeUnavailable = true;
    m_batch->uncertain = true;
    // Fails the submissions that were not sent yet, because it is unknown when the store will answer again.
    std::deque<PendingAccept> unsent;
    unsent.swap(m_accepts);
    for (const PendingAccept &accept : unsent) {
        accept.handler({AcceptOutcome::StoreUnavailable, {}});
    }
    m_scheduler.after(RetryPeriod, [this, alive = m_alive] {
        if (*alive) {
            send();
        }
    });
}

void JobJournal::onCommitted(StoreRevision revision)
{
    m_position.headRevision = revision;
    const Batch batch = std::move(*m_batch);
    m_batch.reset();
    for (const auto &[job, phase] : batch.phases) {
        m_client.onPhaseRecorded(job, phase);
    }
    for (const auto &[key, value] : batch.puts) {
        m_client.onPutRecorded(key, value);
    }
    for (const PendingMove &moved : batch.moves) {
        moved.handler();
    }
    for (const PendingAccept &accept : batch.accepts) {
        accept.handler({AcceptOutcome::Accepted, m_position.partition});
    }
    if (batch.completesRound) {
        m_changed.endRound();
        m_client.onSynced();
    }
    for (const auto &handler : batch.flushHandlers) {
        handler();
    }
    if (isIdle()) {
        notifyFlushed();
    } else {
        schedule(Urgency::Low);
    }
}

void JobJournal::onRefused(const StoreTransactionResult &commit)
{
    const StoreRevision owner = commit.currentRevision(JobKeys::owner(m_position.partition));
    if (owner != m_position.ownerRevision) {
        m_client.onOwnershipLost();
        return;
    }
    const StoreRevision head = commit.currentRevision(JobKeys::head(m_position.partition));
    if (head != m_position.headRevision) {
        // Only this journal writes the head key during this term, so an earlier attempt has taken effect.
        onCommitted(head);
        return;
    }
    // Some of the jobs exist already or were refused. Removes them from the batch and sends the rest again.
    Batch batch = std::move(*m_batch);
    m_batch.reset();
    for (PendingAccept &accept : batch.accepts) {
        const StoreEntry *home = commit.currentEntry(JobKeys::home(accept.record.specification.id));
        if (home == nullptr) {
            // The mark that the acceptance would have replaced has been erased.
            accept.refusal = MustNotExist;
            m_accepts.push_back(std::move(accept));
        } else if (!JobKeys::isRefused(home->value)) {
            accept.handler({AcceptOutcome::Exists, home->value});
        } else if (home->revision != accept.refusal) {
            accept.handler({AcceptOutcome::RefusedBefore, {}, home->revision});
        } else {
            m_accepts.push_back(std::move(accept));
        }
    }
    for (const auto &[job, phase] : batch.phases) {
        m_changed.add(job);
    }
    // Keeps values that were put in the meantime, because they are newer.
    m_puts.merge(batch.puts);
    std::erase_if(batch.delegations, [this](const PendingDelegation &earlier) {
        return std::any_of(m_delegations.begin(), m_delegations.end(),
            [&earlier](const PendingDelegation &delegation) { return delegation.replaces(earlier); });
    });
    m_delegations.insert(m_delegations.begin(), std::make_move_iterator(batch.delegations.begin()),
        std::make_move_iterator(batch.delegations.end()));
    m_erasures.insert(batch.transaction.erasures.begin(), batch.transaction.erasures.end());
    for (const PendingMove &pending : batch.moves) {
        for (const std::string &key : pending.erasures) {
            m_erasures.erase(key);
        }
        m_changed.add(pending.job);
    }
    m_moves.insert(
        m_moves.begin(), std::make_move_iterator(batch.moves.begin()), std::make_move_iterator(batch.moves.end()));
    for (auto &[job, keys] : batch.erasuresAfterProgress) {
        for (const std::string &key : keys) {
            m_erasures.erase(key);
        }
        m_erasuresAfterProgress[job].merge(keys);
        m_changed.add(job);
    }
    if (m_changed.hasRound()) {
        m_changed.abandonRound();
        m_syncRequested = true;
    }
    std::move(batch.flushHandlers.begin(), batch.flushHandlers.end(), std::back_inserter(m_flushHandlers));
    schedule(Urgency::High);
}

void JobJournal::notifyFlushed()
{
    std::vector<std::function<void()>> handlers;
    handlers.swap(m_flushHandlers);
    for (const auto &handler : handlers) {
        handler();
    }
}

}
