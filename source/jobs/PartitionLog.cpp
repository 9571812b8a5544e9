#include "jobs/PartitionLog.h"

#include "configuration/ClusterKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds RetryDelay {100};
constexpr std::uint64_t RingSlots = 512;
constexpr std::uint64_t CommitsPerSnapshot = 128;
constexpr std::size_t MaximumFinishedTasks = 4096;
constexpr std::int64_t FinishedTaskRetentionMilliseconds = 48LL * 3600 * 1000;
constexpr std::size_t MaximumSnapshotBytes = 900'000;

Error ownershipLostError()
{
    return {ErrorKind::NotOwner, "another instance has taken over the partition", "send the call again"};
}

// The parsed content of one slot.
struct Commit
{
    std::uint64_t sequence = 0;
    std::vector<PartitionLogRecord> records;
};

Result<Commit> parseCommit(const StoreEntry &entry)
{
    const Result<Json> parsed = parseJson(entry.value, "the log entry " + entry.key);
    if (const Error *error = errorOf(parsed)) {
        return *error;
    }
    const Json &document = std::get<Json>(parsed);
    Commit commit;
    commit.sequence = memberOr(document, "sequence", std::uint64_t {0});
    for (const Json &item : memberOr(document, "records", Json::array())) {
        Result<PartitionLogRecord> record = parsePartitionLogRecord(item);
        if (const Error *error = errorOf(record)) {
            return *error;
        }
        commit.records.push_back(std::move(std::get<PartitionLogRecord>(record)));
    }
    return commit;
}

}

// Wraps a continuation so that it does nothing once the log has been destroyed.
template<typename Function> auto PartitionLog::guarded(Function function)
{
    return [alive = m_alive, function = std::move(function)](auto &&...arguments) {
        if (*alive) {
            function(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

PartitionLog::PartitionLog(
    Store &store, Scheduler &scheduler, const Clock &clock, PartitionIdentity partition, TakenOver writer)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_clock(clock)
    , m_partition(std::move(partition))
    , m_writer(std::move(writer))
{
}

PartitionLog::~PartitionLog()
{
    *m_alive = false;
}

void PartitionLog::recover(std::function<void(Result<TaskTable>)> handler, OwnershipLostHandler ownershipLost)
{
    m_recoveryHandler = std::move(handler);
    m_ownershipLostHandler = std::move(ownershipLost);
    readSnapshot();
}

void PartitionLog::restartRecovery()
{
    retry([this] { readSnapshot(); });
}

void PartitionLog::readSnapshot()
{
    m_store.read(ClusterKeys::snapshot(m_partition), guarded([this](const Result<std::optional<StoreEntry>> &result) {
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry == nullptr) {
            restartRecovery();
            return;
        }
        if (!*entry) {
            readLog(MustNotExist, TaskTable(), 0);
            return;
        }
        const Result<Json> parsed = parseJson((*entry)->value, "the snapshot of " + m_partition.text());
        if (const Error *error = errorOf(parsed)) {
            m_recoveryHandler(*error);
            return;
        }
        const Json &document = std::get<Json>(parsed);
        readLog((*entry)->revision, TaskTable::parse(memberOr(document, "state", Json::object())),
            memberOr(document, "through", std::uint64_t {0}));
    }));
}

void PartitionLog::readLog(StoreRevision snapshotRevision, TaskTable table, std::uint64_t through)
{
    const auto onListing
        = [this, snapshotRevision, table = std::move(table), through](const Result<StoreListing> &result) {
              const auto *listing = std::get_if<StoreListing>(&result);
              if (listing == nullptr) {
                  restartRecovery();
                  return;
              }
              m_snapshotRevision = snapshotRevision;
              replay(*listing, table, through);
          };
    m_store.list(ClusterKeys::logPrefix(m_partition), guarded(onListing));
}

void PartitionLog::replay(const StoreListing &listing, TaskTable table, std::uint64_t through)
{
    std::map<std::uint64_t, std::vector<PartitionLogRecord>> commits;
    m_slotRevisions.clear();
    for (const StoreEntry &entry : listing.entries) {
        m_slotRevisions[entry.key] = entry.revision;
        Result<Commit> commit = parseCommit(entry);
        if (const Error *error = errorOf(commit)) {
            m_recoveryHandler(*error);
            return;
        }
        auto &[sequence, records] = std::get<Commit>(commit);
        if (sequence > through) {
            commits.emplace(sequence, std::move(records));
        }
    }
    std::uint64_t expected = through + 1;
    for (const auto &[sequence, records] : commits) {
        if (sequence != expected) {
            // The predecessor wrote a newer snapshot and reused slots after this instance had read the old one.
            restartRecovery();
            return;
        }
        for (const PartitionLogRecord &record : records) {
            table.apply(record);
        }
        ++expected;
    }
    if (table.token() > m_writer.token) {
        // A later owner has already written to the log; an earlier one must not fence it.
        loseOwnership();
        return;
    }
    table.apply(m_writer);
    m_snapshotThrough = through;
    m_nextSequence = expected;
    fence(std::move(table));
}

StoreRevision PartitionLog::slotRevision(const std::string &key) const
{
    const auto found = m_slotRevisions.find(key);
    return found == m_slotRevisions.end() ? MustNotExist : found->second;
}

StoreWrite PartitionLog::slotWrite(std::string value) const
{
    const std::string key = ClusterKeys::logSlot(m_partition, m_nextSequence % RingSlots);
    return {key, std::move(value), slotRevision(key), 0};
}

bool PartitionLog::hasFreeSlot() const
{
    return m_nextSequence + 1 < m_snapshotThrough + RingSlots;
}

void PartitionLog::fence(TaskTable table)
{
    StoreWrite write = slotWrite(encode({m_writer}));
    const auto onWritten = [this, key = write.key, table = std::move(table)](const Result<StoreRevision> &result) {
        if (errorOf(result) != nullptr) {
            // The predecessor wrote another commit, or the answer was lost: read the log again.
            restartRecovery();
            return;
        }
        m_slotRevisions[key] = std::get<StoreRevision>(result);
        ++m_nextSequence;
        m_recoveryHandler(table);
    };
    m_store.write(std::move(write), guarded(onWritten));
}

std::string PartitionLog::encode(const std::vector<PartitionLogRecord> &records)
{
    Json documents = Json::array();
    for (const PartitionLogRecord &record : records) {
        documents.push_back(describe(record));
    }
    const std::string mark
        = m_writer.instance + "/" + std::to_string(m_writer.token) + "/" + std::to_string(++m_batchNumber);
    return writeJson({{"sequence", m_nextSequence}, {"mark", mark}, {"records", std::move(documents)}});
}

void PartitionLog::append(std::vector<PartitionLogRecord> records, Handler handler)
{
    if (m_ownershipLost) {
        handler(ownershipLostError());
        return;
    }
    if (m_waiting.records.empty()) {
        m_waiting.since = m_clock.now();
    }
    std::move(records.begin(), records.end(), std::back_inserter(m_waiting.records));
    m_waiting.handlers.push_back(std::move(handler));
    if (!m_writing) {
        m_writing = true;
        m_scheduler.post(guarded([this] { commitNext(); }));
    }
}

void PartitionLog::commitNext()
{
    if (m_waiting.handlers.empty()) {
        m_writing = false;
        return;
    }
    if (!hasFreeSlot()) {
        retry([this] { commitNext(); });
        return;
    }
    m_current = std::move(m_waiting);
    m_waiting = Batch();
    m_current.value = encode(m_current.records);
    writeBatch();
}

void PartitionLog::writeBatch()
{
    StoreWrite write = slotWrite(m_current.value);
    const std::string key = write.key;
    m_store.write(std::move(write), guarded([this, key](const Result<StoreRevision> &result) {
        const Error *error = errorOf(result);
        if (error == nullptr) {
            m_slotRevisions[key] = std::get<StoreRevision>(result);
            finishBatch(std::monostate());
        } else if (error->kind == ErrorKind::Conflict) {
            verifyBatchWrite();
        } else {
            retry([this] { verifyBatchWrite(); });
        }
    }));
}

// Reads the slot to find out whether the batch's write took effect, as its answer was lost or it met a conflict.
void PartitionLog::verifyBatchWrite()
{
    const std::string key = ClusterKeys::logSlot(m_partition, m_nextSequence % RingSlots);
    m_store.read(key, guarded([this, key](const Result<std::optional<StoreEntry>> &result) {
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry == nullptr) {
            retry([this] { verifyBatchWrite(); });
            return;
        }
        const StoreRevision present = *entry ? (*entry)->revision : MustNotExist;
        if (present == slotRevision(key)) {
            writeBatch();
        } else if (*entry && (*entry)->value == m_current.value) {
            m_slotRevisions[key] = present;
            finishBatch(std::monostate());
        } else {
            loseOwnership();
        }
    }));
}

void PartitionLog::finishBatch(const Status &status)
{
    ++m_nextSequence;
    const Batch finished = std::move(m_current);
    m_current = Batch();
    for (const Handler &handler : finished.handlers) {
        handler(status);
    }
    commitNext();
}

void PartitionLog::loseOwnership()
{
    m_ownershipLost = true;
    const Batch current = std::move(m_current);
    const Batch waiting = std::move(m_waiting);
    m_current = Batch();
    m_waiting = Batch();
    for (const Handler &handler : current.handlers) {
        handler(ownershipLostError());
    }
    for (const Handler &handler : waiting.handlers) {
        handler(ownershipLostError());
    }
    m_ownershipLostHandler();
}

void PartitionLog::compact(const TaskTable &durable, std::int64_t claimsBefore)
{
    const std::uint64_t through = m_nextSequence - 1;
    if (m_snapshotWriting || m_ownershipLost || through < m_snapshotThrough + CommitsPerSnapshot) {
        return;
    }
    TaskTable trimmed = durable;
    std::size_t retainedTasks = MaximumFinishedTasks;
    trimmed.forgetClaims(claimsBefore);
    trimmed.forgetTasks(m_clock.wallMilliseconds() - FinishedTaskRetentionMilliseconds, retainedTasks);
    std::string value = writeJson({{"through", through}, {"state", trimmed.snapshot()}});
    while (value.size() > MaximumSnapshotBytes && retainedTasks > 0) {
        retainedTasks /= 2;
        trimmed.forgetTasks(0, retainedTasks);
        value = writeJson({{"through", through}, {"state", trimmed.snapshot()}});
    }
    if (value.size() > MaximumSnapshotBytes) {
        return;
    }
    m_snapshotWriting = true;
    StoreWrite write {ClusterKeys::snapshot(m_partition), std::move(value), m_snapshotRevision, 0};
    m_store.write(std::move(write), guarded([this, through](const Result<StoreRevision> &result) {
        const StoreRevision *revision = std::get_if<StoreRevision>(&result);
        if (revision == nullptr) {
            refreshSnapshotRevision();
            return;
        }
        m_snapshotWriting = false;
        m_snapshotRevision = *revision;
        m_snapshotThrough = through;
    }));
}

// Called after a failed snapshot write: the predecessor may still have written a snapshot, which is correct but older,
// or the answer to this instance's write was lost.
void PartitionLog::refreshSnapshotRevision()
{
    m_store.read(ClusterKeys::snapshot(m_partition), guarded([this](const Result<std::optional<StoreEntry>> &result) {
        m_snapshotWriting = false;
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry != nullptr) {
            m_snapshotRevision = *entry ? (*entry)->revision : MustNotExist;
        }
    }));
}

Milliseconds PartitionLog::stalledFor() const
{
    if (!m_writing) {
        return Milliseconds(0);
    }
    const Instant since = m_current.handlers.empty() ? m_waiting.since : m_current.since;
    return std::chrono::duration_cast<Milliseconds>(m_clock.now() - since);
}

bool PartitionLog::isIdle() const
{
    return !m_writing;
}

void PartitionLog::retry(std::function<void()> action)
{
    m_scheduler.after(RetryDelay, guarded(std::move(action)));
}

}
