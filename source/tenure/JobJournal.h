#pragma once

#include "base/Scheduler.h"
#include "scheduling/JobState.h"
#include "store/Store.h"
#include "tenure/ChangedJobs.h"
#include "tenure/JobRecord.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace Wagtail
{

// The result of recording a new job.
enum class AcceptOutcome {
    Accepted,
    // The job was accepted before; the result names its partition.
    Exists,
    // The store does not answer. Nothing was sent to it.
    StoreUnavailable,
    // The partition that the result names should accept the job. Nothing was recorded.
    Redirected,
    // No partition can ever run the job, or it would leave too little capacity for batch work. Nothing was recorded.
    Refused,
    // The job's submission was refused before, and this copy of it may be older than the refusal. Nothing was recorded.
    RefusedBefore,
    // The leader term ended before the result was known.
    Unknown,
};

struct AcceptResult
{
    AcceptOutcome outcome = AcceptOutcome::Unknown;
    std::string partition;
    // The revision of the mark of an earlier refusal, and since when the store has had it at least.
    StoreRevision refusal = MustNotExist;
    Milliseconds refusalAge {0};
};

// Provides the journal with the progress to write and is notified of what the store has recorded.
class JobJournalClient
{
public:
    JobJournalClient() = default;
    JobJournalClient(const JobJournalClient &) = delete;
    JobJournalClient &operator=(const JobJournalClient &) = delete;
    virtual ~JobJournalClient() = default;

    // Returns the phase and the serialized progress of a job, or nothing if the job has been removed.
    [[nodiscard]] virtual std::optional<std::pair<JobPhase, std::string>> progressOf(const std::string &job) = 0;

    // Called before the journal sends the transactions after which the store has all changes up to now.
    virtual void onSyncStarting() = 0;
    // Called when the transactions of the last onSyncStarting() have been committed.
    virtual void onSynced() = 0;
    // Called when the store has the given phase of the job.
    virtual void onPhaseRecorded(const std::string &job, JobPhase phase) = 0;
    // Called when the store has the value of a key that was put.
    virtual void onPutRecorded(const std::string &key, const std::string &value) = 0;
    // Called when the store shows that the leader term is over.
    virtual void onOwnershipLost() = 0;
};

// Where a journal starts: the revision of the partition's owner key, which is also the fencing token of the leader
// term, and the revision of the head key that the term's first transaction wrote.
struct JournalPosition
{
    std::string partition;
    std::uint64_t term = 0;
    StoreRevision ownerRevision = 0;
    StoreRevision headRevision = 0;
};

// Records accepted jobs and their progress in the store. At most one transaction is in flight. Each is conditional on
// the owner key, so that it fails once the leader term is over, and on the head key that the previous transaction
// wrote, so that a resent transaction takes effect only once.
class JobJournal
{
public:
    using AcceptHandler = std::function<void(const AcceptResult &)>;

    JobJournal(Store &store, Scheduler &scheduler, JobJournalClient &client, JournalPosition position);
    ~JobJournal();
    JobJournal(const JobJournal &) = delete;
    JobJournal &operator=(const JobJournal &) = delete;

    // Records a new job unless a job of the same id exists or was refused at another revision than the given one. Fails
    // at once while the store does not answer.
    void accept(JobRecord record, AcceptHandler handler, StoreRevision refusal = MustNotExist);

    // Returns whether the outcome of recording the job is still unknown. The store may have the job already.
    [[nodiscard]] bool isAccepting(const std::string &job) const;

    // How soon a change must be written.
    enum class Urgency {
        // A caller waits for the change.
        High,
        // No caller waits for the change, so it is written together with others: each call to the store has a cost.
        Low,
    };

    // Schedules the job's progress to be written.
    void progressChanged(const std::string &job, Urgency urgency);

    // Schedules the job's progress to be written in one transaction with the given keys of the partition to which tasks
    // of the job are delegated. Replaces a pending delegation whose first key is the same. A pending delegation is
    // dropped if the job's cancellation is put into the inbox of that partition.
    void delegate(const std::string &job, const std::string &partition, std::vector<StoreWrite> writes);

    // Returns whether a delegation of the job waits to be sent to the store.
    [[nodiscard]] bool hasUnsentDelegation(const std::string &job) const;

    // Schedules a transaction that hands a job over to another partition, with the job's keys there and without those
    // here. Calls the handler once it has been committed. The progress of the job must not change any more.
    void move(const std::string &job, std::vector<StoreWrite> writes, std::vector<std::string> erasures,
        std::function<void()> handler);

    // Schedules the job's progress to be written, and a key to be erased in the same transaction or a later one. The
    // key holds the message that has led to the progress.
    void eraseAfterProgress(const std::string &key, const std::string &job);

    // Requests onSyncStarting() and onSynced() even if no job has changed.
    void requestSync();

    // Schedules a key to be written or erased.
    void put(const std::string &key, std::string value);
    void erase(const std::string &key);

    // Calls the handler once the store has all changes up to now, or when the journal is destroyed.
    void flush(std::function<void()> handler);

    // Returns whether the last transaction got no answer.
    [[nodiscard]] bool isStoreUnavailable() const;

private:
    struct PendingAccept
    {
        JobRecord record;
        // The revision of the mark that the job's acceptance may replace, or MustNotExist.
        StoreRevision refusal = MustNotExist;
        AcceptHandler handler;
    };

    struct PendingDelegation
    {
        std::string job;
        std::string partition;
        std::vector<StoreWrite> writes;

        [[nodiscard]] bool replaces(const PendingDelegation &earlier) const;
    };

    struct PendingMove
    {
        std::string job;
        std::vector<StoreWrite> writes;
        std::vector<std::string> erasures;
        std::function<void()> handler;
    };

    // A transaction in flight and what to do once it has been committed.
    struct Batch
    {
        StoreTransaction transaction;
        std::vector<PendingAccept> accepts;
        std::vector<PendingDelegation> delegations;
        std::vector<PendingMove> moves;
        std::map<std::string, std::string> puts;
        std::vector<std::pair<std::string, JobPhase>> phases;
        // The keys whose erasure this batch allows, by job.
        std::map<std::string, std::set<std::string>> erasuresAfterProgress;
        // Whether the store has all changes from before the round once the batch is committed.
        bool completesRound = false;
        // Called once the batch has been committed; it includes all changes made before flush() was called.
        std::vector<std::function<void()>> flushHandlers;
        // Whether an earlier attempt got no answer and may have taken effect.
        bool uncertain = false;
    };

    void schedule(Urgency urgency);
    void writeAfter(Milliseconds delay, bool &scheduled);
    void write();
    void fill(Batch &batch);
    void dropCancelledDelegations();
    void fillDelegations(Batch &batch, std::size_t &entries);
    void fillMoves(Batch &batch, std::size_t &entries);
    void writeProgress(Batch &batch, const std::string &job, std::size_t &entries);
    void send();
    void onResult(const Result<StoreTransactionResult> &result);
    void onCommitted(StoreRevision revision);
    void onRefused(const StoreTransactionResult &commit);
    void notifyFlushed();
    [[nodiscard]] bool hasChanges() const;
    [[nodiscard]] bool isIdle() const;

    Store &m_store;
    Scheduler &m_scheduler;
    JobJournalClient &m_client;
    JournalPosition m_position;
    std::deque<PendingAccept> m_accepts;
    std::deque<PendingDelegation> m_delegations;
    std::deque<PendingMove> m_moves;
    ChangedJobs m_changed;
    std::map<std::string, std::string> m_puts;
    std::set<std::string> m_erasures;
    // Keys that must not be erased before the progress of the job is written, by job.
    std::map<std::string, std::set<std::string>> m_erasuresAfterProgress;
    bool m_syncRequested = false;
    std::optional<Batch> m_batch;
    // Whether a pending change is urgent, and which of the two write timers are running.
    bool m_urgent = false;
    bool m_urgentWriteScheduled = false;
    bool m_deferredWriteScheduled = false;
    bool m_storeUnavailable = false;
    std::vector<std::function<void()>> m_flushHandlers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
