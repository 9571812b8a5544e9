#pragma once

#include "configuration/PrefixWatcher.h"
#include "scheduling/JobScheduler.h"
#include "tenure/DelegatedTaskReturner.h"
#include "tenure/EarlyCancellations.h"
#include "tenure/GivenUpTaskReporter.h"
#include "tenure/HeadroomLedger.h"
#include "tenure/JobArrivals.h"
#include "tenure/JobJournal.h"
#include "tenure/JobRelocationSearch.h"
#include "tenure/PartitionChoice.h"
#include "tenure/PendingSubmissions.h"
#include "tenure/PlaceSearch.h"
#include "tenure/PredecessorTenure.h"
#include "tenure/StoreContact.h"
#include "tenure/SubmissionRefusals.h"

namespace Wagtail
{

// Owns a partition's jobs for one leader term: accepts them, schedules them with a JobScheduler and records them with a
// JobJournal.
class PartitionLeader final : public JobSchedulerListener, public JobJournalClient
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        Store &store;
        WorkerGateway &gateway;
        SubmissionRefusals &refusals;
        // Writes a decision to the log.
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
        // Called when the term is over. The leader must be destroyed afterwards, but not within the call.
        std::function<void()> onOwnershipLost;
        PlacementAdvisor *advisor = nullptr;
        SchedulingPolicies policies = {};
        // Null if tasks are passed on by headroom alone.
        PlaceRequester *places = nullptr;
    };

    struct Limits
    {
        SchedulingLimits scheduling;
        // How long an earlier owner may have granted leases to workers after its owner key expired.
        Milliseconds ownerLease {3'000};
        // The longest lease that workers accept. Owners of earlier versions may have granted it.
        Milliseconds longestWorkerLease {6'000};
        // How long the status of a finished job is available.
        Milliseconds statusRetention {120'000};
    };

    PartitionLeader(Environment environment, Limits limits, JournalPosition position);
    ~PartitionLeader() override;

    // Reads the state that earlier terms recorded, then starts to schedule.
    void load();

    // Tells that the last owner was an earlier process of this instance, which has ended. Must be called before load().
    void setLastOwnerEnded();

    // Returns whether the recorded state has been read.
    [[nodiscard]] bool isLoaded() const;
    [[nodiscard]] const JournalPosition &position() const;

    // Whether a submission may be redirected to a partition that suits the job better.
    enum class Placement {
        AnyPartition,
        ThisPartition,
    };

    using SubmitHandler = PendingSubmissions::Handler;
    // Submits a job. It may have been refused at the given revision before this copy of the submission was received.
    void submit(JobRecord record, Placement placement, SubmitHandler handler, StoreRevision refusal = MustNotExist);

    enum class CancelOutcome {
        // The store has the cancellation.
        Recorded,
        // This partition does not own the job.
        NotOwned,
        // The job may still be accepted, and the outcome of its submission will not be known soon.
        Unknown,
    };
    // Cancels a job, also one whose submission is under way.
    void cancel(const std::string &id, std::function<void(CancelOutcome)> handler);

    // Returns the phase that callers may see, or nothing if this partition does not own the job. An end that is not
    // recorded yet is reported as Running.
    [[nodiscard]] std::optional<JobPhase> phaseOf(const std::string &id) const;
    [[nodiscard]] int waitingCount(const std::string &queue) const;

    void updateWorkers(const std::map<std::string, WorkerListing> &workers);
    void updatePolicies(const std::map<std::string, QueuePolicy> &policies);

    // Sets the headroom of another partition.
    void updateHeadroom(const std::string &partition, const PoolHeadrooms &headrooms);
    void setAuthority(SchedulingAuthority authority);

    // Holds places for tasks that another partition may send.
    [[nodiscard]] PlaceAnswer holdPlaces(const PlaceRequest &request);

    // Returns whether tasks or whole jobs wait for room in other partitions, so that fresh reports of it are needed.
    [[nodiscard]] bool seeksRoom() const;

    // Sets whether all instances can read tasks that are given back.
    void setMayGiveBack(bool mayGiveBack);

    // Sets whether all instances can read jobs that are handed over as a whole.
    void setMayRelocateJobs(bool mayRelocateJobs);

    // Sets when the store last confirmed this instance's lease. Must be called before each tick.
    void setLeaseConfirmedAt(Instant confirmedAt);
    void tick();

    // Returns whether the last write to the store was not answered.
    [[nodiscard]] bool isStoreUnavailable() const;

    // Calls the handler once the store has all changes up to now.
    void flush(std::function<void()> handler);

    [[nodiscard]] const JobScheduler &jobScheduler() const;

    // JobSchedulerListener
    void progressChanged(const std::string &job) override;
    void startHeldBack(const std::string &job) override;
    void runEndsReported() override;
    void tokenRefused(const std::string &worker) override;
    void delegatedTaskCrashed(const std::string &job, const std::string &partition) override;
    void delegatedTaskGivenUp(const std::string &job) override;
    void logDecision(std::string_view what, const std::string &subject, const Json &inputs) override;

    // JobJournalClient
    std::optional<std::pair<JobPhase, std::string>> progressOf(const std::string &job) override;
    void onSyncStarting() override;
    void onSynced() override;
    void onPhaseRecorded(const std::string &job, JobPhase phase) override;
    void onPutRecorded(const std::string &key, const std::string &value) override;
    void onOwnershipLost() override;

private:
    void restore(const StoreListing &listing);
    void onInboxChanged(const std::string &key);
    void applyInboxEntry(const std::string &key, const InboxEntry &entry);
    // Who had the job before this term.
    enum class JobOrigin {
        EarlierTerm,
        OtherPartition,
    };
    void restoreJob(const StoreEntry &entry, const std::string *progress, JobOrigin origin = JobOrigin::EarlierTerm);

    // Applies a cancellation from the inbox. Keeps it there while the job's acceptance has no known outcome, and an
    // early one for its lifetime.
    void applyCancellation(const std::string &key, const InboxEntry &entry);
    // Applies the cancellation that was kept until the job was known or the outcome of its acceptance, if there is one.
    void applyKeptCancellation(const std::string &id);
    void eraseExpiredCancellations();
    void cancelLocally(const JobState &job, std::function<void(bool)> handler);

    // Fails a job by the verdict of another partition. Erases the verdict's key once the store has the end of the job.
    void failDelegated(const JobState &job, const std::string &key, const InboxEntry &verdict);

    // Calls the handler with true once the store has the end of a job that has ended.
    void whenEndRecorded(const JobState &job, std::function<void(bool)> handler);

    // Sends the cancellation to the partitions that run some of the job's tasks.
    void cancelDelegated(const JobState &job);

    // Passes long-running tasks that find no worker on to partitions with headroom.
    void delegateUnplacedTasks();
    void delegate(const UnplacedStep &unplaced);
    // Returns whether other partitions can hold places for tasks of the job before they arrive.
    [[nodiscard]] bool maySeekPlaces(const JobState &job) const;
    // Looks for places in other partitions for tasks that wait in vain, and for those on draining workers.
    void seekPlaces(const std::vector<UnplacedStep> &unplaced);
    // Returns the record of a job that names the tasks, without its payload.
    [[nodiscard]] static JobRecord placeDemand(const std::vector<const TaskState *> &tasks);
    // Passes tasks on to a partition that holds places for them. Returns those that leave for it.
    std::set<TaskName> onPlacesHeld(const std::string &partition, const std::set<TaskName> &tasks);
    // Looks for places in other partitions for jobs that are to leave as a whole.
    void relocateJobs();
    // Hands a job over to a partition that holds places for it. Returns false if it stays.
    [[nodiscard]] bool handOver(const std::string &partition, const std::string &id);
    void onHandedOver(const std::string &id);
    // Takes over a job that another partition has handed over.
    void receiveJob(const std::string &key, const InboxEntry &entry);
    // Sends a cancellation of a job that this partition does not know to the one that has it, if there is one.
    void passOnCancellation(const std::string &key, const std::string &id);
    // Passes on tasks whose runs were stopped for places in other partitions, if the store has just answered.
    void delegateStoppedTasks();
    // Passes the named tasks of one step on to a partition that holds places for them, by way of the home partition of
    // their job.
    void passOn(const std::string &id, const std::set<TaskName> &tasks, const std::string &partition);
    void delegate(const std::string &id, const std::set<TaskName> &tasks, const std::string &partition);
    void giveBack(const std::string &id, const std::set<TaskName> &tasks, const std::string &nextPartition);
    // Gives tasks of another partition's job back to it, if other partitions have headroom for them.
    void giveBack(const UnplacedStep &unplaced);
    // Takes back tasks that another partition gives back.
    void takeBack(const std::string &key, const InboxEntry &entry);
    [[nodiscard]] std::vector<DelegationChoice> chooseDelegatesFor(const UnplacedStep &unplaced) const;
    // Returns the processor demand of so many tasks of a step, as far as it reduces the headroom.
    [[nodiscard]] std::int64_t demandOf(const UnplacedStep &unplaced, int count) const;
    [[nodiscard]] std::string nextMessage();

    // Sends all tasks of the job that are delegated to the partition there, with the crashes under them.
    void sendDelegated(const JobState &job, const std::string &partition);
    // Logs the headroom that others see, and the gaps behind it.
    void logHeadrooms();
    void endTerm(const std::string &reason);
    // Writes the record of the lease holders, and passes on stopped tasks, if they wait for it.
    void onStoreAnswered();
    // Writes the record of the lease holders if it is due and the store has just answered.
    void recordLeaseHolders();
    void writeLeaseHolders();
    void writeInterferenceModel();
    // Records the policies that a later owner could not learn otherwise, if they have changed.
    void writePolicies();

    // Returns the result if the job must not be accepted by this partition, and otherwise nothing.
    [[nodiscard]] std::optional<AcceptResult> checkAdmission(const JobRecord &record, Placement placement);

    // Refuses all copies of a submission, unless another partition has accepted one of them.
    void refuse(const std::string &id);
    void restoreInterferenceModel(const std::string &text);
    void restorePolicies(const std::string &text);

    Environment m_environment;
    Limits m_limits;
    JournalPosition m_position;
    Instant m_startedAt;
    PredecessorTenure m_predecessorTenure;
    bool m_hasLastOwnerEnded = false;
    // The processor demand, by pool, of long-running tasks whose jobs are being recorded. Declared before the journal,
    // as are the submissions: the journal calls their handlers when it is destroyed.
    std::map<std::string, std::int64_t> m_pendingLongRunningMilliCores;
    PendingSubmissions m_submissions;
    JobScheduler m_jobScheduler;
    JobJournal m_journal;
    GivenUpTaskReporter m_givenUpReporter;
    VersionedEntries m_inbox;
    PrefixWatcher m_inboxFeed;
    bool m_loaded = false;
    bool m_termEnded = false;
    std::map<std::string, WorkerListing> m_listedWorkers;
    std::map<std::string, RunEndPosition> m_endsBeingRecorded;
    std::set<RunName> m_startsBeingRecorded;
    std::multimap<std::string, std::function<void(bool)>> m_endHandlers;
    // The numbers of the records of the lease holders that were put into the journal and are not stored yet, by text.
    std::map<std::string, std::uint64_t> m_leaseRecords;
    HeadroomLedger m_headrooms;
    // Both are empty if the environment has no PlaceRequester.
    std::optional<PlaceSearch> m_placeSearch;
    std::optional<JobRelocationSearch> m_relocationSearch;
    StoreContact m_storeContact;
    JobArrivals m_arrivals;
    // The cancellations of jobs that are being handed over, by job.
    std::multimap<std::string, std::function<void(CancelOutcome)>> m_cancellationsDuringDeparture;
    DelegatedTaskReturner m_returner;
    EarlyCancellations m_earlyCancellations;
    // Identifies the next message to another partition among those of this term.
    std::uint64_t m_nextMessage = 0;
    bool m_seeksRoom = false;
    bool m_mayGiveBack = false;
    bool m_mayRelocateJobs = false;
    Instant m_lastCleanup;
    Instant m_lastDelegation;
    Instant m_lastInterferenceModelWrite;
    Instant m_lastHeadroomLog;
    std::string m_recordedInterferenceModel;
    std::string m_recordedPolicies;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
