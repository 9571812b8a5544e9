#pragma once

#include "base/Scheduler.h"
#include "scheduling/JobState.h"
#include "store/Store.h"
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
    // The job was accepted before; the home names its partition.
    Exists,
    // The store is not answering and nothing was sent.
    StoreAway,
    // Another partition should take it; the home names it. Nothing was recorded.
    Elsewhere,
    // No partition can ever run it, or it would crowd other work out. Nothing was recorded.
    Refused,
    // The tenure ended before the result was known.
    Unknown,
};

struct AcceptResult
{
    AcceptOutcome outcome = AcceptOutcome::Unknown;
    std::string home;
};

// What the journal takes from its owner when it writes, and tells it afterwards.
class JobJournalOwner
{
public:
    JobJournalOwner() = default;
    JobJournalOwner(const JobJournalOwner &) = delete;
    JobJournalOwner &operator=(const JobJournalOwner &) = delete;
    virtual ~JobJournalOwner() = default;

    // Returns the present progress of a job, or nothing when it is no longer kept.
    [[nodiscard]] virtual std::optional<std::pair<JobPhase, std::string>> progressOf(const std::string &job) = 0;

    // A transaction that covers all changes up to now is about to be sent.
    virtual void onCoverageBegins() = 0;
    // The last transaction announced by onCoverageBegins() is in the store.
    virtual void onCovered() = 0;
    virtual void onPhaseRecorded(const std::string &job, JobPhase phase) = 0;
    // Another instance owns the partition.
    virtual void onDeposed() = 0;
};

// Where a journal continues: the owner's key with its revision, and the head as the tenure's first transaction left it.
struct JournalPosition
{
    std::string partition;
    std::uint64_t tenure = 0;
    StoreRevision ownerRevision = 0;
    StoreRevision headRevision = 0;
};

// Records accepted jobs and their progress in the store. One transaction is under way at a time; each carries the
// conditions that the partition is still owned under this tenure and that the one before it is the last.
class JobJournal
{
public:
    using AcceptHandler = std::function<void(const AcceptResult &)>;

    JobJournal(Store &store, Scheduler &scheduler, JobJournalOwner &owner, JournalPosition position);
    ~JobJournal();
    JobJournal(const JobJournal &) = delete;
    JobJournal &operator=(const JobJournal &) = delete;

    void accept(JobRecord record, AcceptHandler handler);

    // How soon a change has to be in the store.
    enum class Urgency {
        // A caller waits for it.
        High,
        // Nobody waits for it, so that more may gather: each call to the store is paid for.
        Low,
    };

    // Has the job's progress written with the next transaction.
    void progressChanged(const std::string &job, Urgency urgency);

    // Has the job's progress written together with the given keys of another partition, in one transaction.
    void delegate(const std::string &job, std::vector<StoreWrite> writes);

    // Has the coverage announced again even when no job changed.
    void requestCoverage();

    // Has a key written or erased with the next transaction.
    void put(const std::string &key, std::string value);
    void erase(const std::string &key);

    // Calls the handler once everything recorded up to now is in the store.
    void flush(std::function<void()> handler);

    // Returns whether the last transaction went unanswered.
    [[nodiscard]] bool isStoreAway() const;

private:
    struct PendingAccept
    {
        JobRecord record;
        AcceptHandler handler;
    };

    struct PendingDelegation
    {
        std::string job;
        std::vector<StoreWrite> writes;
    };

    // A transaction under way, with what follows when it is in the store.
    struct Batch
    {
        StoreTransaction transaction;
        std::vector<PendingAccept> accepts;
        std::vector<PendingDelegation> delegations;
        std::map<std::string, std::string> puts;
        std::vector<std::pair<std::string, JobPhase>> phases;
        bool covers = false;
        // Called once the batch is in the store; it holds all that was decided before they asked.
        std::vector<std::function<void()>> flushHandlers;
        // Whether an earlier attempt went unanswered and may have taken effect.
        bool uncertain = false;
    };

    void schedule(Urgency urgency);
    void writeAfter(Milliseconds delay, bool &scheduled);
    void write();
    void fill(Batch &batch);
    void fillDelegations(Batch &batch, std::size_t &entries);
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
    JobJournalOwner &m_owner;
    JournalPosition m_position;
    std::deque<PendingAccept> m_accepts;
    std::deque<PendingDelegation> m_delegations;
    std::set<std::string> m_changed;
    std::map<std::string, std::string> m_puts;
    std::set<std::string> m_erasures;
    bool m_coverageWanted = false;
    std::optional<Batch> m_batch;
    // Whether a change that waits is urgent, and which of the two delays run.
    bool m_urgent = false;
    bool m_scheduledSoon = false;
    bool m_scheduledLater = false;
    bool m_storeAway = false;
    std::vector<std::function<void()>> m_flushHandlers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
