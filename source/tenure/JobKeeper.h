#pragma once

#include "configuration/PrefixWatcher.h"
#include "scheduling/JobScheduler.h"
#include "tenure/JobJournal.h"
#include "tenure/PartitionChoice.h"

namespace Wagtail
{

// Everything that one tenure of a partition decides and keeps: its jobs, their recording and their scheduling.
class JobKeeper final : public JobSchedulerListener, public JobJournalOwner
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        Store &store;
        WorkerGateway &gateway;
        // Takes each decision for the log.
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
        // Called when the tenure is over; the keeper must be destroyed afterwards, not within the call.
        std::function<void()> onDeposed;
        PlacementAdvisor *advisor = nullptr;
    };

    struct Limits
    {
        SchedulingLimits scheduling;
        // How long an earlier owner may have gone on granting leases after its key was gone.
        Milliseconds ownerLease {3'000};
        // How long a finished job can be asked for.
        Milliseconds statusRetention {120'000};
    };

    JobKeeper(Environment environment, Limits limits, JournalPosition position);
    ~JobKeeper() override;

    // Reads what earlier tenures recorded, then begins to schedule.
    void load();

    // Returns whether the recorded state has been read.
    [[nodiscard]] bool isLoaded() const;
    [[nodiscard]] const JournalPosition &position() const;

    // Whether a job that suits another partition better may be sent there.
    enum class Placement {
        Free,
        Here,
    };

    using SubmitHandler = std::function<void(const AcceptResult &)>;
    void submit(JobRecord record, Placement placement, SubmitHandler handler);

    // Calls the handler with true once the cancellation is recorded, with false when the job is not known here.
    void cancel(const std::string &id, std::function<void(bool)> handler);

    // Returns the phase that callers may see, or nothing when the job is not known here.
    [[nodiscard]] std::optional<JobPhase> phaseOf(const std::string &id) const;
    [[nodiscard]] int waitingCount(const std::string &queue) const;

    void updateWorkers(const std::map<std::string, WorkerListing> &workers);
    void updatePolicies(const std::map<std::string, QueuePolicy> &policies);

    // Takes what another partition's workers can take.
    void updateRoom(const std::string &partition, const PoolHeadrooms &rooms);
    void setAuthority(SchedulingAuthority authority);
    void tick();

    // Calls the handler once everything decided so far is in the store.
    void flush(std::function<void()> handler);

    [[nodiscard]] const JobScheduler &jobs() const;

    // JobSchedulerListener
    void progressChanged(const std::string &job) override;
    void runEndsReported() override;
    void leaseHoldersChanged() override;
    void tokenRefused(const std::string &worker) override;
    void logDecision(std::string_view what, const std::string &subject, const Json &inputs) override;

    // JobJournalOwner
    std::optional<std::pair<JobPhase, std::string>> progressOf(const std::string &job) override;
    void onCoverageBegins() override;
    void onCovered() override;
    void onPhaseRecorded(const std::string &job, JobPhase phase) override;
    void onDeposed() override;

private:
    void restore(const StoreListing &listing);
    void onInboxChanged(const std::string &key);
    void applyInbox(const std::string &key, const InboxEntry &entry);
    void restoreJob(const StoreEntry &entry, const std::string *progress);
    void cancelHere(const JobState &job, std::function<void(bool)> handler);

    // Tells the partitions that run some of a cancelled job's tasks.
    void cancelDelegated(const JobState &job);

    // Leaves lasting tasks that find no worker to partitions with room.
    void delegateUnplaced();
    void depose(const std::string &reason);
    void writeLeaseHolders();
    void writePressure();

    // Returns why the job is not to be recorded here, if so.
    [[nodiscard]] std::optional<AcceptResult> chooseElsewhere(const JobRecord &record, Placement placement);

    // Refuses a job, unless another partition has accepted it: requests arrive again after their answer.
    void refuse(const std::string &id, SubmitHandler handler);
    void restorePressure(const std::string &text);

    Environment m_environment;
    Limits m_limits;
    JournalPosition m_position;
    Instant m_beganAt;
    // The processors of lasting tasks, by pool, whose jobs are being recorded. The journal answers for them when it is
    // destroyed, so this outlives it.
    std::map<std::string, std::int64_t> m_lastingOnTheWay;
    JobScheduler m_jobs;
    JobJournal m_journal;
    VersionedEntries m_inbox;
    PrefixWatcher m_inboxFeed;
    bool m_loaded = false;
    bool m_deposed = false;
    std::map<std::string, WorkerListing> m_listed;
    std::map<std::string, RunEndPosition> m_covered;
    std::multimap<std::string, std::function<void(bool)>> m_cancelHandlers;
    bool m_leaseHoldersDirty = false;
    // The rooms of the other partitions; a job that is sent there is taken off until the next update.
    PartitionRooms m_rooms;
    Instant m_lastForgetting;
    Instant m_lastDelegation;
    Instant m_lastPressure;
    std::string m_recordedPressure;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
