// The part of PartitionLeader that reads the state that earlier terms recorded.
#include "scheduling/LeaseHolderRecord.h"
#include "tenure/JobKeys.h"
#include "tenure/PartitionLeader.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds LoadRetryPeriod {200};

}

void PartitionLeader::load()
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

void PartitionLeader::restore(const StoreListing &listing)
{
    const std::string jobsPrefix = JobKeys::jobs(m_position.partition);
    const std::string progressPrefix = JobKeys::progress(m_position.partition);
    std::map<std::string, const std::string *> progress;
    LeaseHolderRecord record;
    for (const StoreEntry &entry : listing.entries) {
        if (entry.key.starts_with(progressPrefix)) {
            progress[entry.key.substr(progressPrefix.size())] = &entry.value;
        } else if (entry.key == JobKeys::leaseHolders(m_position.partition)) {
            record = parseLeaseHolderRecord(entry.value);
        } else if (entry.key == JobKeys::interferenceModel(m_position.partition)) {
            restoreInterferenceModel(entry.value);
        } else if (entry.key == JobKeys::policies(m_position.partition)) {
            restorePolicies(entry.value);
        }
    }
    const bool isFirstTerm = m_position.term == 0;
    const Milliseconds unrecordedLease = isFirstTerm ? m_limits.scheduling.lease : m_limits.longestWorkerLease;
    m_jobScheduler.beginRecovery(record, {m_startedAt, m_limits.ownerLease, unrecordedLease, m_hasLastOwnerEnded});
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
    m_storeContact.noteAnswer();
    for (const auto &[name, worker] : m_listedWorkers) {
        m_jobScheduler.updateWorker(worker);
    }
    m_environment.log("partition-loaded", m_position.partition,
        {{"jobs", count}, {"recorded_holders", record.workers.size()}, {"recorded_term", record.term},
            {"listed_workers", m_listedWorkers.size()},
            {"earlier_lease_ms", record.leaseDuration.value_or(unrecordedLease).count()},
            {"token", m_position.ownerRevision}});
    m_inboxFeed.start();
}

void PartitionLeader::restoreJob(const StoreEntry &entry, const std::string *progress, JobOrigin origin)
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
        m_jobScheduler.restoreDelegated(
            std::move(record.specification), std::move(record.policy), record.acceptedWall, document, record.delegated);
        // The last owner may have ended before it reported a crash under a task that it had given back.
        m_returner.reportCrashes(id);
        return;
    }
    if (origin == JobOrigin::OtherPartition) {
        m_jobScheduler.receive(
            std::move(record.specification), std::move(record.policy), record.acceptedWall, document);
        return;
    }
    m_jobScheduler.restore(std::move(record.specification), std::move(record.policy), record.acceptedWall, document);
    const JobState *job = m_jobScheduler.find(id);
    if (job != nullptr && job->isFinished()) {
        // The last owner may have ended before it notified the partitions with delegated tasks.
        cancelDelegated(*job);
    }
}

void PartitionLeader::restorePolicies(const std::string &text)
{
    m_recordedPolicies = text;
    if (text.empty()) {
        return;
    }
    const Result<Json> document = parseJson(text, "the queue policies");
    if (const Error *error = errorOf(document)) {
        m_environment.log("queue-policies-unreadable", m_position.partition, {{"error", error->detail}});
        return;
    }
    m_jobScheduler.updatePolicies(parseQueuePolicies(std::get<Json>(document)));
}

void PartitionLeader::restoreInterferenceModel(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the interference model");
    if (const Error *error = errorOf(document)) {
        m_environment.log("interference-model-unreadable", m_position.partition, {{"error", error->detail}});
        return;
    }
    m_jobScheduler.interferenceModel().restore(std::get<Json>(document));
    m_recordedInterferenceModel = text;
}

}
