// The part of JobKeeper that reads what earlier tenures recorded.
#include "tenure/JobKeeper.h"
#include "tenure/JobKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds LoadRetryPeriod {200};

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
    m_jobs.beginRecovery(holders, m_beganAt + longestForeignLease(m_limits));
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
        m_jobs.restoreDelegated(
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

void JobKeeper::restorePressure(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the learned pressure");
    if (const Error *error = errorOf(document)) {
        m_environment.log("pressure-unreadable", m_position.partition, {{"error", error->detail}});
        return;
    }
    m_jobs.interferenceModel().restore(std::get<Json>(document));
    m_recordedPressure = text;
}

}
