#include "scheduling/LeaseHandover.h"

#include "scheduling/JobState.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// How long after the expiry of earlier leases a new owner waits for live workers that have not answered yet.
constexpr Milliseconds MaximumExtraRecovery {10'000};
// A log line names at most this many workers.
constexpr std::size_t MaximumWorkersInLog = 8;
// The record states how long leases of lost workers last from its writing on. A successor waits this much longer than
// necessary at most.
constexpr Milliseconds LeaseExpiryRecordPeriod {1'000};
// A record names at most this many tasks. Any task may run on the workers whose tasks would exceed it.
constexpr std::size_t MaximumRecordedTasks = 1'000;

// An owner whose lease has ended resumes within this time if the store is away for all instances by then.
constexpr Milliseconds LongestResumptionDelay {2'000};

// Returns how long a lease lasts by the slowest worker clock.
Milliseconds longestDuration(Milliseconds lease)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(lease.count()) / WorkerClock::SlowestRate));
}

}

LeaseHandover::LeaseHandover(std::uint64_t term, Milliseconds leaseDuration)
    : m_term(term), m_leaseDuration(leaseDuration)
{
}

void LeaseHandover::begin(const LeaseHolderRecord &record, const EarlierLeaseBounds &bounds, Instant now)
{
    m_beganAt = now;
    m_recoveryActive = true;
    m_earlierLeaseDuration = record.leaseDuration.value_or(bounds.longestLease);
    m_priorLeasesExpireAt = bounds.termBeganAt + bounds.ownerLease + longestDuration(m_earlierLeaseDuration);
    m_earlierOwnersEndAt = bounds.termBeganAt + bounds.ownerLease + LongestResumptionDelay;
    const bool isOfLastTerm = record.term + 1 == m_term;
    const bool recordedEnd = record.endedStarts || (bounds.hasLastOwnerEnded && record.earlierStartsEnded);
    m_inheritedEndedStarts = m_term == 0 || (recordedEnd && isOfLastTerm);
    m_allHoldersKnown = record.namesAllHolders && isOfLastTerm;
    m_stored = KnownRecord();
    for (const WorkerListing &worker : record.workers) {
        m_stored->holders.insert(worker.name);
        const auto expiry = record.finalExpiries.find(worker.name);
        const bool isFinal = isOfLastTerm && expiry != record.finalExpiries.end();
        UnconfirmedWorker unconfirmed {isFinal ? bounds.termBeganAt + expiry->second : m_priorLeasesExpireAt, {}};
        const auto tasks = record.finalTasks.find(worker.name);
        // The last owner starts nothing on such a worker, not even if it still acts.
        if (isFinal && record.earlierStartsEnded && tasks != record.finalTasks.end()) {
            unconfirmed.tasks = tasks->second;
        }
        m_unconfirmedWorkers.emplace(worker.name, std::move(unconfirmed));
    }
}

void LeaseHandover::extendEarlierGrants(Instant grantsEndAt)
{
    m_earlierOwnersEndAt = std::max(m_earlierOwnersEndAt, grantsEndAt);
    const Instant expireAt = grantsEndAt + longestDuration(m_earlierLeaseDuration);
    if (expireAt <= m_priorLeasesExpireAt) {
        return;
    }
    for (auto &[name, worker] : m_unconfirmedWorkers) {
        if (worker.leaseExpiresAt >= m_priorLeasesExpireAt || !m_inheritedEndedStarts) {
            worker = {expireAt, {}};
        }
    }
    m_priorLeasesExpireAt = expireAt;
}

Instant LeaseHandover::priorLeasesExpireAt() const
{
    return m_priorLeasesExpireAt;
}

void LeaseHandover::expect(const std::string &worker)
{
    if (m_allHoldersKnown) {
        return;
    }
    m_unconfirmedWorkers.try_emplace(worker, UnconfirmedWorker {m_priorLeasesExpireAt, {}});
    m_recoveryActive = true;
}

void LeaseHandover::confirm(const std::string &worker)
{
    m_unconfirmedWorkers.erase(worker);
    m_confirmedWorkers.insert(worker);
}

void LeaseHandover::noteTruncatedReport(const std::string &worker)
{
    m_confirmedWorkers.erase(worker);
    const auto found = m_unconfirmedWorkers.find(worker);
    if (found != m_unconfirmedWorkers.end()) {
        // It may get tasks of this term.
        found->second.tasks.reset();
    }
}

bool LeaseHandover::isUnconfirmed(const std::string &worker) const
{
    return m_unconfirmedWorkers.contains(worker);
}

Instant LeaseHandover::leaseExpiryOf(const std::string &worker) const
{
    const auto found = m_unconfirmedWorkers.find(worker);
    return found == m_unconfirmedWorkers.end() ? Instant() : found->second.leaseExpiresAt;
}

Instant LeaseHandover::leaseExpiryOnceHeard(const std::string &worker, Instant now) const
{
    const Instant expiry = leaseExpiryOf(worker);
    // An earlier owner that still starts tasks would reach the next incarnation of a worker that restarts.
    return haveEarlierStartsEnded(now) ? std::min(expiry, now + WorkerClock::longestDuration(m_earlierLeaseDuration))
                                       : expiry;
}

bool LeaseHandover::haveEarlierStartsEnded(Instant now) const
{
    return m_inheritedEndedStarts || now >= m_earlierOwnersEndAt;
}

RecoveryStage LeaseHandover::recoveryStage(Instant now, const std::map<std::string, WorkerState> &workers) const
{
    RecoveryStage stage = RecoveryStage::Over;
    for (const auto &[name, unconfirmed] : m_unconfirmedWorkers) {
        stage = std::min(stage, recoveryStage(name, now, workers));
    }
    return stage;
}

RecoveryHolds LeaseHandover::recoveryHolds(Instant now, const std::map<std::string, WorkerState> &workers) const
{
    RecoveryHolds holds;
    for (const auto &[name, unconfirmed] : m_unconfirmedWorkers) {
        const RecoveryStage stage = recoveryStage(name, now, workers);
        if (!unconfirmed.tasks) {
            holds.addForAll(stage);
            continue;
        }
        for (const TaskName &task : *unconfirmed.tasks) {
            holds.add(task, stage);
        }
    }
    return holds;
}

RecoveryStage LeaseHandover::recoveryStage(
    const std::string &name, Instant now, const std::map<std::string, WorkerState> &workers) const
{
    const Instant leaseExpiresAt = leaseExpiryOf(name);
    if (now < leaseExpiresAt) {
        return RecoveryStage::Leases;
    }
    const auto found = workers.find(name);
    if (found == workers.end()) {
        return RecoveryStage::Over;
    }
    // An owner that is short of processor time may not yet have read the reports of live workers. The last owner has
    // got no answer from workers whose leases expired sooner than all others, but it may have been short of processor
    // time as well.
    const WorkerState &worker = found->second;
    const bool wasHeardBefore = leaseExpiresAt >= m_priorLeasesExpireAt || !worker.isUnreachable();
    const bool isAlive = worker.listed && wasHeardBefore && now < leaseExpiresAt + MaximumExtraRecovery;
    const bool isPartlyRead = worker.hasAnswered && worker.consecutiveUnanswered == 0;
    return isAlive || isPartlyRead ? RecoveryStage::Reports : RecoveryStage::Over;
}

bool LeaseHandover::isRecoveryActive() const
{
    return m_recoveryActive;
}

void LeaseHandover::endRecovery()
{
    m_unconfirmedWorkers.clear();
    m_recoveryActive = false;
}

Json LeaseHandover::describeRecovery(Instant now, const std::map<std::string, WorkerState> &workers) const
{
    const auto milliseconds = [](Instant from, Instant to) {
        return std::chrono::duration_cast<Milliseconds>(to - from).count();
    };
    Json names = Json::array();
    std::size_t listed = 0;
    Instant lastExpiry = now;
    for (const auto &[name, unconfirmed] : m_unconfirmedWorkers) {
        lastExpiry = std::max(lastExpiry, unconfirmed.leaseExpiresAt);
        const auto worker = workers.find(name);
        listed += worker != workers.end() && worker->second.listed ? 1 : 0;
        if (names.size() < MaximumWorkersInLog) {
            names.push_back(name);
        }
    }
    return {{"age_ms", milliseconds(m_beganAt, now)}, {"leases_expire_ms", milliseconds(now, lastExpiry)},
        {"unconfirmed", m_unconfirmedWorkers.size()}, {"unconfirmed_listed", listed}, {"workers", std::move(names)}};
}

bool LeaseHandover::mayGrant(const std::string &worker) const
{
    const auto allows = [&worker](const KnownRecord &record) {
        return record.holders.contains(worker) && !record.expiring.contains(worker);
    };
    return m_stored && allows(*m_stored) && std::all_of(m_pending.begin(), m_pending.end(), allows);
}

bool LeaseHandover::isHolder(const WorkerState &worker, Instant now) const
{
    // Workers that have not answered yet may hold leases of earlier leader terms. A successor has to read run ends that
    // are not recorded. Workers that may be given tasks are named in advance.
    const bool mayGetTasks = (worker.listed && !worker.listing.draining) || worker.mayBeListedAgain(now);
    return isUnconfirmed(worker.listing.name) || worker.mayRunTasks() || worker.hasUnrecordedEnds() || mayGetTasks;
}

std::optional<Instant> LeaseHandover::finalLeaseExpiry(const WorkerState &worker, SchedulingAuthority authority) const
{
    const std::string &name = worker.listing.name;
    if (isUnconfirmed(name)) {
        const Instant earlierExpiry = leaseExpiryOf(name);
        // The first report of a worker that is not lost may still be under way.
        const bool wasLostBefore = earlierExpiry < m_priorLeasesExpireAt && !worker.hasAnswered;
        const bool seemsLost = wasLostBefore || worker.consecutiveUnanswered > 0;
        // A worker whose list of ends is not complete may have got leases of this term.
        const Instant expiry = std::max(earlierExpiry, worker.leaseExpiry().value_or(Instant()));
        return seemsLost || authority == SchedulingAuthority::KeepRunning ? std::optional(expiry) : std::nullopt;
    }
    // An owner that hands over can't find out whether the worker answers its next request. One that drains may have
    // left before the next owner asks it.
    const bool mayBeLost = worker.consecutiveUnanswered > 0 || worker.listing.draining;
    const bool isLeftUnheard = authority == SchedulingAuthority::KeepRunning && mayBeLost;
    if (!worker.isUnreachable() && !isLeftUnheard) {
        return std::nullopt;
    }
    const std::optional<Instant> expiry = worker.leaseExpiry();
    // A worker without a lease of this leader term may still hold one of an earlier term.
    return expiry || worker.mayRunTasks() ? expiry : m_priorLeasesExpireAt;
}

std::optional<std::set<TaskName>> LeaseHandover::finalTasks(const WorkerState &worker, Instant now) const
{
    // An earlier owner that still acts, or a start on its way, may reach the next incarnation of the worker.
    if (!haveEarlierStartsEnded(now) || !worker.unsettledStarts.isEmpty()) {
        return std::nullopt;
    }
    std::set<TaskName> tasks;
    const auto unconfirmed = m_unconfirmedWorkers.find(worker.listing.name);
    if (unconfirmed != m_unconfirmedWorkers.end()) {
        if (!unconfirmed->second.tasks || worker.hasAnswered) {
            return std::nullopt;
        }
        tasks = *unconfirmed->second.tasks;
    } else if (!worker.hasAnswered || !m_confirmedWorkers.contains(worker.listing.name)) {
        return std::nullopt;
    }
    for (const TaskState *task : worker.tasks) {
        tasks.insert(nameOf(*task));
    }
    for (const RunName &run : worker.obsoleteRuns.runs()) {
        tasks.insert(run.task);
    }
    for (const LostRun &lost : worker.lostRuns) {
        tasks.insert(lost.run.task);
    }
    for (const auto &[number, task] : worker.unrecordedEnds) {
        tasks.insert(task);
    }
    return tasks;
}

Milliseconds LeaseHandover::longestLease(Instant now) const
{
    return now < m_priorLeasesExpireAt ? std::max(m_earlierLeaseDuration, m_leaseDuration) : m_leaseDuration;
}

bool LeaseHandover::isRecordDue(
    Instant now, const std::map<std::string, WorkerState> &workers, SchedulingAuthority authority) const
{
    if (!m_pending.empty()) {
        return false;
    }
    const bool expiriesOutdated = m_recordHasExpiries && now - m_recordedAt >= LeaseExpiryRecordPeriod;
    // A successor relies only on expiry times that this term has recorded.
    const bool isFirst = !m_stored || m_stored->number == 0;
    if (isFirst || expiriesOutdated || longestLease(now) != m_recordedLeaseDuration
        || haveEarlierStartsEnded(now) != m_recordedEarlierStartsEnded) {
        return true;
    }
    std::size_t holders = 0;
    for (const auto &[name, worker] : workers) {
        const bool holds = isHolder(worker, now);
        const bool expires = holds && finalLeaseExpiry(worker, authority);
        if (holds != m_stored->holders.contains(name) || expires != m_stored->expiring.contains(name)) {
            return true;
        }
        holders += holds ? 1 : 0;
    }
    return holders != m_stored->holders.size();
}

BegunLeaseRecord LeaseHandover::beginRecord(
    Instant now, const std::map<std::string, WorkerState> &workers, SchedulingAuthority authority)
{
    const bool earlierStartsEnded = haveEarlierStartsEnded(now);
    BegunLeaseRecord begun {++m_lastNumber, {{}, longestLease(now), m_term, {}, true, false, earlierStartsEnded}};
    begun.record.endedStarts = authority == SchedulingAuthority::KeepRunning && earlierStartsEnded;
    KnownRecord known {m_lastNumber, {}, {}};
    std::size_t recordedTasks = 0;
    for (const auto &[name, worker] : workers) {
        if (!isHolder(worker, now)) {
            continue;
        }
        begun.record.workers.push_back(worker.listing);
        known.holders.insert(name);
        if (const std::optional<Instant> expiry = finalLeaseExpiry(worker, authority)) {
            begun.record.finalExpiries[name]
                = std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(*expiry - now));
            known.expiring.insert(name);
            std::optional<std::set<TaskName>> tasks = now < *expiry ? finalTasks(worker, now) : std::nullopt;
            if (tasks && recordedTasks + tasks->size() <= MaximumRecordedTasks) {
                recordedTasks += tasks->size();
                begun.record.finalTasks[name] = std::move(*tasks);
            }
        }
    }
    m_pending.push_back(std::move(known));
    m_recordedAt = now;
    m_recordedLeaseDuration = longestLease(now);
    m_recordedEarlierStartsEnded = earlierStartsEnded;
    m_recordHasExpiries = std::any_of(begun.record.finalExpiries.begin(), begun.record.finalExpiries.end(),
        [](const auto &expiry) { return expiry.second > Milliseconds(0); });
    return begun;
}

void LeaseHandover::recordStored(std::uint64_t number)
{
    while (!m_pending.empty() && m_pending.front().number <= number) {
        m_stored = std::move(m_pending.front());
        m_pending.pop_front();
    }
}

}
