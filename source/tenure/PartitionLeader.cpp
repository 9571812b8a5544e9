#include "tenure/PartitionLeader.h"

#include "tenure/JobKeys.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A cancellation must reach the workers within three seconds, even if the store's event history lost it. Each watch
// ends after this time, and a lost change is noticed then.
constexpr Milliseconds InboxWatchTime {1'000};
constexpr Milliseconds CleanupPeriod {5'000};
constexpr Milliseconds DelegationPeriod {200};
constexpr Milliseconds HeadroomLogPeriod {2'000};
// A record of lease holders is written only if the store has answered within this time.
constexpr Milliseconds LongestSilence {200};
// Interference between two images is learned within a few reports, so what a take-over loses is soon learned again.
constexpr Milliseconds InterferenceModelWritePeriod {3'000};

}

PartitionLeader::PartitionLeader(Environment environment, Limits limits, JournalPosition position)
    : m_environment(std::move(environment))
    , m_limits(limits)
    , m_position(std::move(position))
    , m_startedAt(m_environment.clock.now())
    , m_predecessorTenure(m_startedAt, m_limits.ownerLease)
    , m_jobScheduler({m_environment.clock, m_environment.scheduler, m_environment.gateway, *this, m_environment.advisor,
                         m_environment.policies},
          limits.scheduling, m_position.ownerRevision, m_position.term)
    , m_journal(m_environment.store, m_environment.scheduler, *this, m_position)
    , m_givenUpReporter(m_environment.clock, m_environment.store, m_jobScheduler, m_journal)
    , m_inbox([this](const std::string &key) { onInboxChanged(key); })
    , m_inboxFeed(
          m_environment.store, m_environment.scheduler, m_inbox, JobKeys::inbox(m_position.partition), InboxWatchTime)
    , m_headrooms(m_environment.clock)
    , m_storeContact(
          m_environment.clock, m_environment.store, JobKeys::owner(m_position.partition), [this] { onStoreAnswered(); })
    , m_arrivals(m_environment.store, m_environment.scheduler, m_position.partition)
    , m_returner(m_environment.store, m_jobScheduler, m_journal, m_position)
    , m_earlyCancellations(m_environment.clock)
{
    if (m_environment.places != nullptr) {
        m_placeSearch.emplace(PlaceSearch::Environment {m_environment.clock, *m_environment.places, m_headrooms,
                                  [this](const std::string &partition, const std::set<TaskName> &tasks) {
                                      return onPlacesHeld(partition, tasks);
                                  }},
            m_position.partition);
        m_relocationSearch.emplace(
            JobRelocationSearch::Environment {m_environment.clock, *m_environment.places, m_headrooms,
                [this](const std::string &partition, const std::string &id) {
                    return handOver(partition, id);
                }},
            m_position.partition);
    }
}

PartitionLeader::~PartitionLeader()
{
    *m_alive = false;
    for (const auto &[id, handler] : m_cancellationsDuringDeparture) {
        handler(CancelOutcome::Unknown);
    }
}

void PartitionLeader::setLastOwnerEnded()
{
    m_hasLastOwnerEnded = true;
}

bool PartitionLeader::isLoaded() const
{
    return m_loaded;
}

const JournalPosition &PartitionLeader::position() const
{
    return m_position;
}

std::optional<AcceptResult> PartitionLeader::checkAdmission(const JobRecord &record, Placement placement)
{
    PartitionHeadrooms headrooms;
    if (placement == Placement::AnyPartition) {
        headrooms = m_headrooms.headrooms();
    }
    const bool knowsWorkers = !m_listedWorkers.empty();
    if (knowsWorkers) {
        headrooms[m_position.partition] = m_jobScheduler.headrooms();
        for (const auto &[pool, demand] : m_pendingLongRunningMilliCores) {
            headrooms[m_position.partition][pool].reserveForLongRunning(demand);
        }
    }
    const PartitionChoice choice = choosePartition(record, m_position.partition, headrooms);
    const std::string &id = record.specification.id;
    if (choice.kind != PartitionChoice::Kind::Accept && !knowsWorkers) {
        // Workers may be listed here later.
        return std::nullopt;
    }
    if (choice.kind != PartitionChoice::Kind::Accept) {
        const char *reason = choice.kind == PartitionChoice::Kind::NeverFits ? "does not fit any worker" : "crowded";
        m_environment.log("job-refused", id,
            {{"reason", reason}, {"long_running_millicores", longRunningDemand(record.specification)},
                {"headroom", describe(headrooms[m_position.partition])}});
        return AcceptResult {AcceptOutcome::Refused, {}};
    }
    if (choice.partition == m_position.partition) {
        return std::nullopt;
    }
    m_headrooms.reserveUntilReport(choice.partition, record.policy.pool, longRunningDemand(record.specification));
    m_environment.log("job-redirected", id, {{"partition", choice.partition}});
    return AcceptResult {AcceptOutcome::Redirected, choice.partition};
}

void PartitionLeader::refuse(const std::string &id)
{
    m_environment.refusals.refuse(id, [this, alive = m_alive, id](const SubmissionRefusals::Answer &answer) {
        if (!*alive) {
            return;
        }
        using Verdict = SubmissionRefusals::Verdict;
        if (answer.verdict == Verdict::Refused) {
            m_submissions.finish(id, {AcceptOutcome::Refused, {}});
        } else if (answer.verdict == Verdict::Exists) {
            m_submissions.finish(id, {AcceptOutcome::Exists, answer.partition});
        } else {
            m_submissions.finish(id, {AcceptOutcome::Unknown, {}});
        }
    });
}

void PartitionLeader::updateHeadroom(const std::string &partition, const PoolHeadrooms &headrooms)
{
    if (partition != m_position.partition) {
        m_headrooms.update(partition, headrooms);
    }
}

void PartitionLeader::submit(JobRecord record, Placement placement, SubmitHandler handler, StoreRevision refusal)
{
    const std::string id = record.specification.id;
    // The instance that got the submission may not know the newest configuration yet.
    record.policy = m_jobScheduler.policyFor(record.specification.queue, record.policy);
    const JobState *known = m_jobScheduler.find(id);
    if (known != nullptr && !known->ownedElsewhere) {
        handler({AcceptOutcome::Exists, m_position.partition});
        return;
    }
    const bool isCopy = m_submissions.contains(id);
    m_submissions.add(id, std::move(handler));
    if (isCopy) {
        return;
    }
    const SubmissionRefusals::Mark *mark = m_environment.refusals.find(id);
    if (mark != nullptr && mark->revision > refusal) {
        const auto age = std::chrono::duration_cast<Milliseconds>(m_environment.clock.now() - mark->knownSince);
        m_submissions.finish(id, {AcceptOutcome::RefusedBefore, {}, mark->revision, age});
        return;
    }
    if (const std::optional<AcceptResult> decision = checkAdmission(record, placement)) {
        if (decision->outcome == AcceptOutcome::Refused) {
            refuse(id);
        } else {
            m_submissions.finish(id, *decision);
        }
        return;
    }
    const std::int64_t demand = longRunningDemand(record.specification);
    m_pendingLongRunningMilliCores[record.policy.pool] += demand;
    m_journal.accept(
        record,
        [this, record, demand](const AcceptResult &result) {
            m_pendingLongRunningMilliCores[record.policy.pool] -= demand;
            if (result.outcome == AcceptOutcome::RefusedBefore) {
                m_environment.refusals.add(record.specification.id, result.refusal);
            } else if (result.outcome == AcceptOutcome::Accepted || result.outcome == AcceptOutcome::Exists) {
                m_environment.refusals.remove(record.specification.id);
            }
            if (result.outcome == AcceptOutcome::Accepted) {
                m_jobScheduler.add(record.specification, record.policy, record.acceptedWall);
            }
            // With an unknown outcome the term has ended, and the next owner reads the inbox.
            if (result.outcome != AcceptOutcome::Unknown) {
                applyKeptCancellation(record.specification.id);
            }
            m_submissions.finish(record.specification.id, result);
        },
        refusal);
}

void PartitionLeader::cancel(const std::string &id, std::function<void(CancelOutcome)> handler)
{
    const JobState *job = m_jobScheduler.find(id);
    if (job != nullptr && job->isDeparting) {
        if (m_journal.isStoreUnavailable()) {
            handler(CancelOutcome::Unknown);
        } else {
            m_cancellationsDuringDeparture.emplace(id, std::move(handler));
        }
        return;
    }
    if (job != nullptr && !job->ownedElsewhere) {
        cancelLocally(*job, [handler = std::move(handler)](bool) { handler(CancelOutcome::Recorded); });
        return;
    }
    if (!m_submissions.contains(id)) {
        handler(CancelOutcome::NotOwned);
        return;
    }
    if (m_journal.isStoreUnavailable()) {
        // It is unknown when the store will answer. A cancellation in the inbox waits as long.
        handler(CancelOutcome::Unknown);
        return;
    }
    m_submissions.add(id, [this, id, handler = std::move(handler)](const AcceptResult &result) {
        if (result.outcome == AcceptOutcome::Unknown) {
            handler(CancelOutcome::Unknown);
        } else {
            cancel(id, handler);
        }
    });
}

void PartitionLeader::cancelLocally(const JobState &job, std::function<void(bool)> handler)
{
    const bool isNew = !job.isFinished();
    if (isNew) {
        cancelDelegated(job);
        m_jobScheduler.cancel(job.specification.id);
    }
    whenEndRecorded(job, std::move(handler));
}

void PartitionLeader::whenEndRecorded(const JobState &job, std::function<void(bool)> handler)
{
    if (job.recordedPhase == job.phase) {
        handler(true);
    } else {
        m_endHandlers.emplace(job.specification.id, std::move(handler));
    }
}

std::optional<JobPhase> PartitionLeader::phaseOf(const std::string &id) const
{
    const JobState *job = m_jobScheduler.find(id);
    if (job == nullptr || job->ownedElsewhere) {
        return std::nullopt;
    }
    if (job->isFinished() && job->recordedPhase != job->phase) {
        return JobPhase::Running;
    }
    return job->phase;
}

int PartitionLeader::waitingCount(const std::string &queue) const
{
    return m_jobScheduler.waitingCount(queue);
}

void PartitionLeader::updateWorkers(const std::map<std::string, WorkerListing> &workers)
{
    for (const auto &[name, worker] : m_listedWorkers) {
        if (!workers.contains(name)) {
            m_jobScheduler.removeWorker(name);
        }
    }
    for (const auto &[name, worker] : workers) {
        const auto known = m_listedWorkers.find(name);
        if (m_loaded && (known == m_listedWorkers.end() || known->second != worker)) {
            m_jobScheduler.updateWorker(worker);
        }
    }
    m_listedWorkers = workers;
}

void PartitionLeader::updatePolicies(const std::map<std::string, QueuePolicy> &policies)
{
    m_jobScheduler.updatePolicies(policies);
}

void PartitionLeader::setAuthority(SchedulingAuthority authority)
{
    m_jobScheduler.setAuthority(m_termEnded ? SchedulingAuthority::Observe : authority);
}

bool PartitionLeader::seeksRoom() const
{
    return m_seeksRoom;
}

void PartitionLeader::setMayGiveBack(bool mayGiveBack)
{
    m_mayGiveBack = mayGiveBack;
}

void PartitionLeader::setMayRelocateJobs(bool mayRelocateJobs)
{
    m_mayRelocateJobs = mayRelocateJobs;
    m_jobScheduler.setDependents(mayRelocateJobs ? DependentSteps::MayLeave : DependentSteps::Stay);
}

void PartitionLeader::setLeaseConfirmedAt(Instant confirmedAt)
{
    m_predecessorTenure.observe(confirmedAt, m_environment.clock.now());
    if (m_loaded) {
        m_jobScheduler.extendEarlierGrants(m_predecessorTenure.grantsEndAt());
    }
}

void PartitionLeader::tick()
{
    if (!m_loaded || m_termEnded) {
        return;
    }
    m_jobScheduler.tick();
    m_givenUpReporter.tick();
    m_returner.tick();
    const Instant now = m_environment.clock.now();
    recordLeaseHolders();
    writePolicies();
    delegateStoppedTasks();
    if (now - m_lastDelegation >= DelegationPeriod) {
        m_lastDelegation = now;
        delegateUnplacedTasks();
        relocateJobs();
    }
    if (now - m_lastHeadroomLog >= HeadroomLogPeriod) {
        m_lastHeadroomLog = now;
        logHeadrooms();
    }
    if (now - m_lastInterferenceModelWrite >= InterferenceModelWritePeriod) {
        m_lastInterferenceModelWrite = now;
        writeInterferenceModel();
    }
    if (now - m_lastCleanup < CleanupPeriod) {
        return;
    }
    m_lastCleanup = now;
    eraseExpiredCancellations();
    for (const RemovedJob &job : m_jobScheduler.removeFinished(now - m_limits.statusRetention)) {
        if (!job.ownedElsewhere) {
            m_journal.erase(JobKeys::home(job.id));
        }
        m_journal.erase(JobKeys::jobs(m_position.partition) + job.id);
        m_journal.erase(JobKeys::progress(m_position.partition) + job.id);
    }
}

void PartitionLeader::logHeadrooms()
{
    for (const auto &[pool, headroom] : m_jobScheduler.headrooms()) {
        std::vector<std::int64_t> gaps;
        for (const Resources &gap : headroom.gaps) {
            gaps.push_back(gap.milliCores);
        }
        m_environment.log("pool-headroom", m_position.partition,
            {{"pool", pool}, {"capacity_millicores", headroom.capacity},
                {"free_beside_lasting", headroom.freeBesideLongRunning}, {"gaps_millicores", gaps},
                {"seeks_room", m_seeksRoom}});
    }
}

void PartitionLeader::onStoreAnswered()
{
    recordLeaseHolders();
    delegateStoppedTasks();
}

void PartitionLeader::recordLeaseHolders()
{
    // A record that can't be stored yet would only keep its workers from getting leases.
    if (!m_loaded || m_termEnded || !m_jobScheduler.isLeaseRecordDue() || m_journal.isStoreUnavailable()) {
        return;
    }
    if (m_storeContact.hasAnsweredWithin(LongestSilence)) {
        writeLeaseHolders();
    } else {
        m_storeContact.ask();
    }
}

void PartitionLeader::writeLeaseHolders()
{
    const BegunLeaseRecord begun = m_jobScheduler.beginLeaseRecord();
    std::string text = serialize(begun.record);
    m_leaseRecords[text] = begun.number;
    m_journal.put(JobKeys::leaseHolders(m_position.partition), std::move(text));
}

void PartitionLeader::writeInterferenceModel()
{
    std::string text = writeJson(m_jobScheduler.interferenceModel().describe());
    if (text == m_recordedInterferenceModel) {
        return;
    }
    m_recordedInterferenceModel = text;
    m_journal.put(JobKeys::interferenceModel(m_position.partition), std::move(text));
}

void PartitionLeader::writePolicies()
{
    const std::map<std::string, QueuePolicy> policies = m_jobScheduler.unrecordedPolicies();
    std::string text = policies.empty() ? std::string() : writeJson(describe(policies));
    if (text == m_recordedPolicies) {
        return;
    }
    m_recordedPolicies = text;
    m_journal.put(JobKeys::policies(m_position.partition), std::move(text));
}

bool PartitionLeader::isStoreUnavailable() const
{
    return m_journal.isStoreUnavailable();
}

void PartitionLeader::flush(std::function<void()> handler)
{
    if (m_loaded) {
        writeLeaseHolders();
    }
    m_journal.flush(std::move(handler));
}

const JobScheduler &PartitionLeader::jobScheduler() const
{
    return m_jobScheduler;
}

void PartitionLeader::progressChanged(const std::string &job)
{
    const JobState *state = m_jobScheduler.find(job);
    const bool hasEnded = state != nullptr && state->isFinished() && state->recordedPhase != state->phase;
    if (hasEnded && state->phase == JobPhase::Failed && !state->ownedElsewhere) {
        cancelDelegated(*state);
    }
    // Callers wait for the end of a job, but not for progress of its tasks.
    m_journal.progressChanged(job, hasEnded ? JobJournal::Urgency::High : JobJournal::Urgency::Low);
}

void PartitionLeader::startHeldBack(const std::string &job)
{
    m_journal.progressChanged(job, JobJournal::Urgency::High);
}

void PartitionLeader::runEndsReported()
{
    m_journal.requestSync();
}

void PartitionLeader::tokenRefused(const std::string &worker)
{
    endTerm("worker " + worker + " has seen a higher fencing token");
}

void PartitionLeader::logDecision(std::string_view what, const std::string &subject, const Json &inputs)
{
    m_environment.log(what, subject, inputs);
}

std::optional<std::pair<JobPhase, std::string>> PartitionLeader::progressOf(const std::string &job)
{
    const JobState *state = m_jobScheduler.find(job);
    if (state == nullptr) {
        return std::nullopt;
    }
    return std::pair(state->phase, writeJson(describeProgress(*state)));
}

void PartitionLeader::onSyncStarting()
{
    m_endsBeingRecorded = m_jobScheduler.appliedRunEnds();
    m_startsBeingRecorded = m_jobScheduler.heldStarts();
}

void PartitionLeader::onSynced()
{
    m_jobScheduler.onRunEndsRecorded(m_endsBeingRecorded);
    m_jobScheduler.onStartsRecorded(m_startsBeingRecorded);
}

void PartitionLeader::onPhaseRecorded(const std::string &job, JobPhase phase)
{
    m_storeContact.noteAnswer();
    m_jobScheduler.phaseRecorded(job, phase);
    const JobState *state = m_jobScheduler.find(job);
    if (state == nullptr || !state->isFinished() || state->recordedPhase != state->phase) {
        return;
    }
    const auto [first, last] = m_endHandlers.equal_range(job);
    std::vector<std::function<void(bool)>> handlers;
    for (auto entry = first; entry != last; ++entry) {
        handlers.push_back(std::move(entry->second));
    }
    m_endHandlers.erase(first, last);
    for (const auto &handler : handlers) {
        handler(true);
    }
}

void PartitionLeader::onPutRecorded(const std::string &key, const std::string &value)
{
    m_storeContact.noteAnswer();
    const auto record = m_leaseRecords.find(value);
    if (key != JobKeys::leaseHolders(m_position.partition) || record == m_leaseRecords.end()) {
        return;
    }
    const std::uint64_t number = record->second;
    std::erase_if(m_leaseRecords, [number](const auto &entry) { return entry.second <= number; });
    m_jobScheduler.leaseRecordStored(number);
}

void PartitionLeader::onOwnershipLost()
{
    endTerm("the store names another owner");
}

void PartitionLeader::endTerm(const std::string &reason)
{
    if (m_termEnded) {
        return;
    }
    m_termEnded = true;
    m_jobScheduler.setAuthority(SchedulingAuthority::Observe);
    m_environment.log(
        "leader-term-ended", m_position.partition, {{"token", m_position.ownerRevision}, {"reason", reason}});
    m_environment.onOwnershipLost();
}

}
