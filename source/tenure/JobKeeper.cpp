#include "tenure/JobKeeper.h"

#include "tenure/JobKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds LoadRetryPeriod {200};
// A cancellation must reach the workers within three seconds, also when the store's history lost it.
constexpr Milliseconds InboxWait {1'000};
constexpr Milliseconds ForgettingPeriod {5'000};
// Lasting tasks should be back at work within some seconds of any end, and a worker may free itself meanwhile.
constexpr Milliseconds DelegationAfter {1'500};
constexpr Milliseconds DelegationPeriod {500};
// A pair of images is learned within a few reports; what is lost of it at a take-over is learned again as fast.
constexpr Milliseconds PressurePeriod {3'000};
// Returns how long leases of an earlier tenure may last on the slowest worker's clock.
Milliseconds longestForeignLease(const JobKeeper::Limits &limits)
{
    const double lease = static_cast<double>(limits.scheduling.lease.count()) / WorkerClock::SlowestRate;
    return limits.ownerLease + Milliseconds(static_cast<std::int64_t>(lease));
}

std::vector<WorkerListing> parseLeaseHolders(const std::string &text)
{
    std::vector<WorkerListing> holders;
    const Result<Json> document = parseJson(text, "the lease holders");
    const Json *members = std::get_if<Json>(&document);
    if (members == nullptr || !members->is_object()) {
        return holders;
    }
    for (const auto &[name, item] : members->items()) {
        WorkerListing worker;
        worker.name = name;
        worker.address = memberOr(item, "address", std::string());
        worker.pool = memberOr(item, "pool", std::string());
        worker.incarnation = memberOr(item, "incarnation", std::int64_t {0});
        holders.push_back(std::move(worker));
    }
    return holders;
}

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

void JobKeeper::load()
{
    m_environment.store.list(
        JobKeys::partition(m_position.partition), [this, alive = m_alive](const Result<StoreListing> &result) {
            if (!*alive) {
                return;
            }
            if (const auto *listing = std::get_if<StoreListing>(&result)) {
                restore(*listing);
                return;
            }
            m_environment.scheduler.after(LoadRetryPeriod, [this, stillAlive = m_alive] {
                if (*stillAlive) {
                    load();
                }
            });
        });
}

void JobKeeper::restore(const StoreListing &listing)
{
    const std::string jobsPrefix = JobKeys::jobs(m_position.partition);
    const std::string progressPrefix = JobKeys::progress(m_position.partition);
    std::map<std::string, const std::string *> progress;
    std::vector<WorkerListing> holders;
    for (const StoreEntry &entry : listing.entries) {
        if (entry.key.starts_with(progressPrefix)) {
            progress[entry.key.substr(progressPrefix.size())] = &entry.value;
        } else if (entry.key == JobKeys::leaseHolders(m_position.partition)) {
            holders = parseLeaseHolders(entry.value);
        } else if (entry.key == JobKeys::pressure(m_position.partition)) {
            restorePressure(entry.value);
        }
    }
    // A worker that the last owner met just before it ended may not be recorded yet, so all listed ones count.
    for (const auto &[name, worker] : m_listed) {
        holders.push_back(worker);
    }
    m_jobs.inherit(holders, m_beganAt + longestForeignLease(m_limits));
    std::size_t count = 0;
    for (const StoreEntry &entry : listing.entries) {
        if (!entry.key.starts_with(jobsPrefix)) {
            continue;
        }
        const auto found = progress.find(entry.key.substr(jobsPrefix.size()));
        restoreJob(entry, found == progress.end() ? nullptr : found->second);
        ++count;
    }
    m_loaded = true;
    for (const auto &[name, worker] : m_listed) {
        m_jobs.updateWorker(worker);
    }
    m_environment.log("partition-loaded", m_position.partition,
        {{"jobs", count}, {"lease_holders", holders.size()}, {"token", m_position.ownerRevision}});
    m_inboxFeed.start();
}

void JobKeeper::restoreJob(const StoreEntry &entry, const std::string *progress)
{
    Result<JobRecord> parsed = parseJobRecord(entry.value);
    if (const Error *error = errorOf(parsed)) {
        m_environment.log("job-unreadable", entry.key, {{"error", error->detail}});
        return;
    }
    JobRecord record = std::get<JobRecord>(std::move(parsed));
    Json document = Json::object();
    if (progress != nullptr) {
        const Result<Json> state = parseJson(*progress, "the job's progress");
        if (const Json *read = std::get_if<Json>(&state)) {
            document = *read;
        } else {
            m_environment.log("progress-unreadable", entry.key, {{"error", errorOf(state)->detail}});
        }
    }
    const std::string id = record.specification.id;
    if (!record.delegated.empty()) {
        m_jobs.restoreGuest(
            std::move(record.specification), std::move(record.policy), record.acceptedWall, document, record.delegated);
        return;
    }
    m_jobs.restore(std::move(record.specification), std::move(record.policy), record.acceptedWall, document);
    const JobState *job = m_jobs.find(id);
    if (job != nullptr && job->isFinished()) {
        // The last owner may have ended before it told them.
        cancelDelegated(*job);
    }
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
    rooms[m_position.partition] = m_jobs.rooms();
    for (const auto &[pool, demand] : m_lastingOnTheWay) {
        rooms[m_position.partition][pool].takeForLasting(demand);
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
    m_rooms[choice.partition][record.policy.pool].takeForLasting(lastingDemand(record.specification));
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

void JobKeeper::updateRoom(const std::string &partition, const PoolRooms &rooms)
{
    if (partition != m_position.partition) {
        m_rooms[partition] = rooms;
    }
}

void JobKeeper::submit(JobRecord record, Placement placement, SubmitHandler handler)
{
    const std::string id = record.specification.id;
    const JobState *known = m_jobs.find(id);
    if (known != nullptr && !known->guest) {
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
    if (job == nullptr || job->guest) {
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
    for (const UnplacedStep &unplaced : m_jobs.unplacedLasting(DelegationAfter)) {
        const JobState &job = *m_jobs.find(unplaced.job);
        const StepSpecification &step = job.specification.steps[static_cast<std::size_t>(unplaced.step)];
        const std::optional<DelegationChoice> choice
            = chooseDelegate(step, job.policy.pool, unplaced.waiting, m_position.partition, m_rooms);
        if (!choice) {
            continue;
        }
        m_rooms[choice->partition][job.policy.pool].takeForLasting(
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

std::optional<JobPhase> JobKeeper::phaseOf(const std::string &id) const
{
    const JobState *job = m_jobs.find(id);
    if (job == nullptr || job->guest) {
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
    for (const ForgottenJob &job : m_jobs.forgetFinished(now - m_limits.statusRetention)) {
        if (!job.guest) {
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
    std::string text = writeJson(m_jobs.pressure().describe());
    if (text == m_recordedPressure) {
        return;
    }
    m_recordedPressure = text;
    m_journal.put(JobKeys::pressure(m_position.partition), std::move(text));
}

void JobKeeper::restorePressure(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the learned pressure");
    if (const Error *error = errorOf(document)) {
        m_environment.log("pressure-unreadable", m_position.partition, {{"error", error->detail}});
        return;
    }
    m_jobs.pressure().restore(std::get<Json>(document));
    m_recordedPressure = text;
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
    m_journal.progressChanged(job);
}

void JobKeeper::endsListed()
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

void JobKeeper::decided(std::string_view what, const std::string &subject, const Json &inputs)
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
    m_covered = m_jobs.appliedEnds();
}

void JobKeeper::onCovered()
{
    m_jobs.endsRecorded(m_covered);
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
        m_jobs.addGuest(record.specification, record.policy, record.acceptedWall, record.delegated);
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
