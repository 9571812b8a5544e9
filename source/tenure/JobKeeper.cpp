#include "tenure/JobKeeper.h"

#include "tenure/JobKeys.h"

namespace Wagtail
{

namespace
{

// A cancellation must reach the workers within three seconds, also when the store's history lost it.
constexpr Milliseconds InboxWait {1'000};
constexpr Milliseconds ForgettingPeriod {5'000};
constexpr Milliseconds DelegationPeriod {500};
// A pair of images is learned within a few reports; what is lost of it at a take-over is learned again as fast.
constexpr Milliseconds PressurePeriod {3'000};

}

JobKeeper::JobKeeper(Environment environment, Limits limits, JournalPosition position)
    : m_environment(std::move(environment))
    , m_limits(limits)
    , m_position(std::move(position))
    , m_beganAt(m_environment.clock.now())
    , m_jobs({m_environment.clock, m_environment.scheduler, m_environment.gateway, *this, m_environment.advisor},
          limits.scheduling, m_position.ownerRevision, m_position.tenure)
    , m_journal(m_environment.store, m_environment.scheduler, *this, m_position)
    , m_inbox([this](const std::string &key) { onInboxChanged(key); })
    , m_inboxFeed(
          m_environment.store, m_environment.scheduler, m_inbox, JobKeys::inbox(m_position.partition), InboxWait)
{
}

JobKeeper::~JobKeeper()
{
    *m_alive = false;
}

bool JobKeeper::isLoaded() const
{
    return m_loaded;
}

const JournalPosition &JobKeeper::position() const
{
    return m_position;
}

std::optional<AcceptResult> JobKeeper::chooseElsewhere(const JobRecord &record, Placement placement)
{
    if (m_listed.empty()) {
        return std::nullopt;
    }
    PartitionRooms rooms;
    if (placement == Placement::Free) {
        rooms = m_rooms;
    }
    rooms[m_position.partition] = m_jobs.headrooms();
    for (const auto &[pool, demand] : m_lastingOnTheWay) {
        rooms[m_position.partition][pool].reserveForLongRunning(demand);
    }
    const PartitionChoice choice = choosePartition(record, m_position.partition, rooms);
    const std::string &id = record.specification.id;
    if (choice.kind != PartitionChoice::Kind::Take) {
        const char *reason = choice.kind == PartitionChoice::Kind::NeverFits ? "never fits" : "crowded";
        m_environment.log("job-refused", id,
            {{"reason", reason}, {"lasting_millicores", lastingDemand(record.specification)},
                {"rooms", describe(rooms[m_position.partition])}});
        return AcceptResult {AcceptOutcome::Refused, {}};
    }
    if (choice.partition == m_position.partition) {
        return std::nullopt;
    }
    m_rooms[choice.partition][record.policy.pool].reserveForLongRunning(lastingDemand(record.specification));
    m_environment.log("job-sent-elsewhere", id, {{"partition", choice.partition}});
    return AcceptResult {AcceptOutcome::Elsewhere, choice.partition};
}

void JobKeeper::refuse(const std::string &id, SubmitHandler handler)
{
    m_environment.store.read(JobKeys::home(id),
        [alive = m_alive, handler = std::move(handler)](const Result<std::optional<StoreEntry>> &result) {
            const auto *home = std::get_if<std::optional<StoreEntry>>(&result);
            if (home == nullptr || !*alive) {
                handler({AcceptOutcome::Unknown, {}});
            } else if (*home) {
                handler({AcceptOutcome::Exists, (*home)->value});
            } else {
                handler({AcceptOutcome::Refused, {}});
            }
        });
}

void JobKeeper::updateRoom(const std::string &partition, const PoolHeadrooms &rooms)
{
    if (partition != m_position.partition) {
        m_rooms[partition] = rooms;
    }
}

void JobKeeper::submit(JobRecord record, Placement placement, SubmitHandler handler)
{
    const std::string id = record.specification.id;
    const JobState *known = m_jobs.find(id);
    if (known != nullptr && !known->ownedElsewhere) {
        handler({AcceptOutcome::Exists, m_position.partition});
        return;
    }
    if (const std::optional<AcceptResult> elsewhere = chooseElsewhere(record, placement)) {
        if (elsewhere->outcome == AcceptOutcome::Refused) {
            refuse(id, std::move(handler));
        } else {
            handler(*elsewhere);
        }
        return;
    }
    const std::int64_t demand = lastingDemand(record.specification);
    m_lastingOnTheWay[record.policy.pool] += demand;
    m_journal.accept(record, [this, record, demand, handler = std::move(handler)](const AcceptResult &result) {
        m_lastingOnTheWay[record.policy.pool] -= demand;
        if (result.outcome == AcceptOutcome::Accepted) {
            m_jobs.add(record.specification, record.policy, record.acceptedWall);
        }
        handler(result);
    });
}

void JobKeeper::cancel(const std::string &id, std::function<void(bool)> handler)
{
    const JobState *job = m_jobs.find(id);
    if (job == nullptr || job->ownedElsewhere) {
        handler(false);
        return;
    }
    cancelHere(*job, std::move(handler));
}

void JobKeeper::cancelHere(const JobState &job, std::function<void(bool)> handler)
{
    const std::string id = job.specification.id;
    const bool recorded = job.isFinished() && job.recordedPhase == job.phase;
    if (recorded) {
        handler(true);
        return;
    }
    m_cancelHandlers.emplace(id, std::move(handler));
    if (!job.isFinished()) {
        cancelDelegated(job);
    }
    m_jobs.cancel(id);
}

std::optional<JobPhase> JobKeeper::phaseOf(const std::string &id) const
{
    const JobState *job = m_jobs.find(id);
    if (job == nullptr || job->ownedElsewhere) {
        return std::nullopt;
    }
    if (job->isFinished() && job->recordedPhase != job->phase) {
        return JobPhase::Running;
    }
    return job->phase;
}

int JobKeeper::waitingCount(const std::string &queue) const
{
    return m_jobs.waitingCount(queue);
}

void JobKeeper::updateWorkers(const std::map<std::string, WorkerListing> &workers)
{
    for (const auto &[name, worker] : m_listed) {
        if (!workers.contains(name)) {
            m_jobs.removeWorker(name);
        }
    }
    for (const auto &[name, worker] : workers) {
        const auto known = m_listed.find(name);
        if (m_loaded && (known == m_listed.end() || known->second != worker)) {
            m_jobs.updateWorker(worker);
        }
    }
    m_listed = workers;
}

void JobKeeper::updatePolicies(const std::map<std::string, QueuePolicy> &policies)
{
    m_jobs.updatePolicies(policies);
}

void JobKeeper::setAuthority(SchedulingAuthority authority)
{
    m_jobs.setAuthority(m_deposed ? SchedulingAuthority::Observe : authority);
}

void JobKeeper::tick()
{
    if (!m_loaded || m_deposed) {
        return;
    }
    m_jobs.tick();
    if (m_leaseHoldersDirty) {
        writeLeaseHolders();
    }
    const Instant now = m_environment.clock.now();
    if (now - m_lastDelegation >= DelegationPeriod) {
        m_lastDelegation = now;
        delegateUnplaced();
    }
    if (now - m_lastPressure >= PressurePeriod) {
        m_lastPressure = now;
        writePressure();
    }
    if (now - m_lastForgetting < ForgettingPeriod) {
        return;
    }
    m_lastForgetting = now;
    for (const RemovedJob &job : m_jobs.removeFinished(now - m_limits.statusRetention)) {
        if (!job.ownedElsewhere) {
            m_journal.erase(JobKeys::home(job.id));
        }
        m_journal.erase(JobKeys::jobs(m_position.partition) + job.id);
        m_journal.erase(JobKeys::progress(m_position.partition) + job.id);
    }
}

void JobKeeper::writeLeaseHolders()
{
    m_leaseHoldersDirty = false;
    Json holders = Json::object();
    for (const WorkerListing &worker : m_jobs.leaseHolders()) {
        holders[worker.name]
            = {{"address", worker.address}, {"pool", worker.pool}, {"incarnation", worker.incarnation}};
    }
    m_journal.put(JobKeys::leaseHolders(m_position.partition), writeJson(holders));
}

void JobKeeper::writePressure()
{
    std::string text = writeJson(m_jobs.interferenceModel().describe());
    if (text == m_recordedPressure) {
        return;
    }
    m_recordedPressure = text;
    m_journal.put(JobKeys::pressure(m_position.partition), std::move(text));
}

void JobKeeper::flush(std::function<void()> handler)
{
    m_journal.flush(std::move(handler));
}

const JobScheduler &JobKeeper::jobs() const
{
    return m_jobs;
}

void JobKeeper::progressChanged(const std::string &job)
{
    const JobState *state = m_jobs.find(job);
    const bool ends = state != nullptr && state->isFinished() && state->recordedPhase != state->phase;
    // Callers ask for a job's end; of single tasks nobody hears.
    m_journal.progressChanged(job, ends ? JobJournal::Urgency::High : JobJournal::Urgency::Low);
}

void JobKeeper::runEndsReported()
{
    m_journal.requestCoverage();
}

void JobKeeper::leaseHoldersChanged()
{
    m_leaseHoldersDirty = true;
}

void JobKeeper::tokenRefused(const std::string &worker)
{
    depose("worker " + worker + " has seen a higher token");
}

void JobKeeper::logDecision(std::string_view what, const std::string &subject, const Json &inputs)
{
    m_environment.log(what, subject, inputs);
}

std::optional<std::pair<JobPhase, std::string>> JobKeeper::progressOf(const std::string &job)
{
    const JobState *state = m_jobs.find(job);
    if (state == nullptr) {
        return std::nullopt;
    }
    return std::pair(state->phase, writeJson(describeProgress(*state)));
}

void JobKeeper::onCoverageBegins()
{
    m_covered = m_jobs.appliedRunEnds();
}

void JobKeeper::onCovered()
{
    m_jobs.onRunEndsRecorded(m_covered);
}

void JobKeeper::onPhaseRecorded(const std::string &job, JobPhase phase)
{
    m_jobs.phaseRecorded(job, phase);
    const JobState *state = m_jobs.find(job);
    if (state == nullptr || !state->isFinished() || state->recordedPhase != state->phase) {
        return;
    }
    const auto [first, last] = m_cancelHandlers.equal_range(job);
    std::vector<std::function<void(bool)>> handlers;
    for (auto entry = first; entry != last; ++entry) {
        handlers.push_back(std::move(entry->second));
    }
    m_cancelHandlers.erase(first, last);
    for (const auto &handler : handlers) {
        handler(true);
    }
}

void JobKeeper::onDeposed()
{
    depose("the store names another owner");
}

void JobKeeper::depose(const std::string &reason)
{
    if (m_deposed) {
        return;
    }
    m_deposed = true;
    m_jobs.setAuthority(SchedulingAuthority::Observe);
    m_environment.log("tenure-over", m_position.partition, {{"token", m_position.ownerRevision}, {"reason", reason}});
    m_environment.onDeposed();
}

}
