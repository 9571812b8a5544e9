#pragma once

#include "base/JsonReader.h"
#include "scheduling/LeaseHolderRecord.h"
#include "scheduling/RecoveryHolds.h"
#include "scheduling/SchedulingAuthority.h"
#include "scheduling/WorkerState.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// What bounds the leases that owners of earlier leader terms have granted.
struct EarlierLeaseBounds
{
    // When this leader term began.
    Instant termBeganAt;
    // How long after that the last owner may have granted leases.
    Milliseconds ownerLease {0};
    // The longest lease of an owner whose record does not state it.
    Milliseconds longestLease {0};
    // Whether the last owner was an earlier process of this instance, which has ended.
    bool hasLastOwnerEnded = false;
};

// A record of the lease holders that is to be stored.
struct BegunLeaseRecord
{
    std::uint64_t number = 0;
    LeaseHolderRecord record;
};

// Tracks which workers may hold leases of earlier leader terms, and which leases the next owner learns of. Starts are
// not recorded in the store, so the owner of a new term learns where tasks run only from the workers themselves: from
// those that the stored record of its predecessor names. The platform's list does not show them all, because entries
// that lapsed during an outage of the store come back after it. Therefore an owner grants leases only to workers that
// the stored record names.
class LeaseHandover
{
public:
    // Takes the number of this leader term and the duration of the leases that its owner grants.
    LeaseHandover(std::uint64_t term, Milliseconds leaseDuration);

    // Awaits the workers of the record that the store has at the start of this term.
    void begin(const LeaseHolderRecord &record, const EarlierLeaseBounds &bounds, Instant now);

    // Notes that an earlier owner may have granted leases up to the given time. Expiries that the record states stay as
    // they are only if no owner before its writer could start tasks any more.
    void extendEarlierGrants(Instant grantsEndAt);

    // Returns when all leases of earlier terms have surely expired.
    [[nodiscard]] Instant priorLeasesExpireAt() const;

    // Awaits a worker that the record does not name, until all leases of earlier terms have expired. Has no effect if
    // the last owner granted leases only to workers of the record.
    void expect(const std::string &worker);

    // Notes that the worker has answered under this term: its runs are known, and it rejects orders of earlier terms.
    void confirm(const std::string &worker);

    // Notes that the worker has answered under this term without listing all that it ran.
    void noteTruncatedReport(const std::string &worker);

    [[nodiscard]] bool isUnconfirmed(const std::string &worker) const;

    // Returns when the last lease of earlier terms on an unconfirmed worker has surely expired.
    [[nodiscard]] Instant leaseExpiryOf(const std::string &worker) const;

    // The same for a worker that gives its first answer under this term now. It has rejected orders of earlier terms
    // since.
    [[nodiscard]] Instant leaseExpiryOnceHeard(const std::string &worker, Instant now) const;

    // Returns whether no owner of an earlier term starts tasks any more.
    [[nodiscard]] bool haveEarlierStartsEnded(Instant now) const;

    // Returns for what tasks of which no run is known have to wait, as far as unconfirmed workers are concerned.
    [[nodiscard]] RecoveryStage recoveryStage(Instant now, const std::map<std::string, WorkerState> &workers) const;

    // Returns the same for each task.
    [[nodiscard]] RecoveryHolds recoveryHolds(Instant now, const std::map<std::string, WorkerState> &workers) const;

    // Whether workers have been awaited since the last call of endRecovery().
    [[nodiscard]] bool isRecoveryActive() const;

    // Forgets the unconfirmed workers.
    void endRecovery();

    // Describes, for the log, for how long the recovery has lasted and which workers it waits for.
    [[nodiscard]] Json describeRecovery(Instant now, const std::map<std::string, WorkerState> &workers) const;

    // Returns whether the worker may get a lease of this term: every record that the store may have names it and does
    // not show it as lost.
    [[nodiscard]] bool mayGrant(const std::string &worker) const;

    // Returns whether the worker may hold a lease of this term or an earlier one, or may get one without a new record.
    [[nodiscard]] bool isHolder(const WorkerState &worker, Instant now) const;

    // Returns whether a new record has to be stored.
    [[nodiscard]] bool isRecordDue(
        Instant now, const std::map<std::string, WorkerState> &workers, SchedulingAuthority authority) const;

    // Composes a record of the lease holders. Workers that it shows as lost get no lease until it is replaced.
    [[nodiscard]] BegunLeaseRecord beginRecord(
        Instant now, const std::map<std::string, WorkerState> &workers, SchedulingAuthority authority);

    // Tells that the store has the record of the given number, which has replaced all earlier ones.
    void recordStored(std::uint64_t number);

private:
    // What a record that the store may have tells a successor.
    struct KnownRecord
    {
        std::uint64_t number = 0;
        std::set<std::string> holders;
        // The holders with a final lease expiry, which the successor relies on.
        std::set<std::string> expiring;
    };

    // A worker of which this term knows no runs.
    struct UnconfirmedWorker
    {
        // When its last lease of earlier terms has surely expired.
        Instant leaseExpiresAt;
        // The only tasks that it may run, if the last owner has stated them.
        std::optional<std::set<TaskName>> tasks;
    };

    [[nodiscard]] RecoveryStage recoveryStage(
        const std::string &name, Instant now, const std::map<std::string, WorkerState> &workers) const;

    // Returns the only tasks that the worker, which gets no lease from now on, may run until its leases have expired,
    // or nothing if others may run there, or may have ended there without the store knowing.
    [[nodiscard]] std::optional<std::set<TaskName>> finalTasks(const WorkerState &worker, Instant now) const;

    // Returns when the last lease of a worker that seems to be lost has surely expired, or nothing for other workers.
    [[nodiscard]] std::optional<Instant> finalLeaseExpiry(
        const WorkerState &worker, SchedulingAuthority authority) const;

    // Returns the longest lease of all terms that may still hold.
    [[nodiscard]] Milliseconds longestLease(Instant now) const;

    std::uint64_t m_term;
    Milliseconds m_leaseDuration;
    Milliseconds m_earlierLeaseDuration {0};
    Instant m_priorLeasesExpireAt;
    // When no earlier owner can start tasks any more, and whether it was certain from the start that none can.
    Instant m_earlierOwnersEndAt;
    bool m_inheritedEndedStarts = false;
    Instant m_beganAt;
    std::map<std::string, UnconfirmedWorker> m_unconfirmedWorkers;
    // Workers whose last report under this term was complete.
    std::set<std::string> m_confirmedWorkers;
    bool m_recoveryActive = false;
    bool m_allHoldersKnown = false;

    std::uint64_t m_lastNumber = 0;
    // The record that the store has, and those of this term that it may get. Number 0 is that of an earlier term, whose
    // expiry times the next owner ignores.
    std::optional<KnownRecord> m_stored;
    std::deque<KnownRecord> m_pending;
    // Of the last record that was begun.
    Instant m_recordedAt;
    Milliseconds m_recordedLeaseDuration {0};
    bool m_recordHasExpiries = false;
    bool m_recordedEarlierStartsEnded = false;
};

}
