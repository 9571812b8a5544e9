#include "jobs/ShardLog.h"

#include "configuration/ClusterKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds RetryDelay {100};
constexpr std::uint64_t RingSlots = 512;
constexpr std::uint64_t CommitsPerSnapshot = 128;
constexpr std::size_t KeptFinalTasks = 4096;
constexpr std::int64_t KeptFinalMilliseconds = 48LL * 3600 * 1000;
constexpr std::size_t LargestValue = 900'000;

Error deposedError()
{
    return {ErrorKind::NotOwner, "another instance has taken the partition over", "send the call again"};
}

// One commit as it stands in its slot.
struct Commit
{
    std::uint64_t sequence = 0;
    std::vector<ShardRecord> records;
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
        Result<ShardRecord> record = parseShardRecord(item);
        if (const Error *error = errorOf(record)) {
            return *error;
        }
        commit.records.push_back(std::move(std::get<ShardRecord>(record)));
    }
    return commit;
}

}

// Wraps a continuation so that it is skipped when the log is gone by then.
template<typename Function> auto ShardLog::guarded(Function function)
{
    return [alive = m_alive, function = std::move(function)](auto &&...arguments) {
        if (*alive) {
            function(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

ShardLog::ShardLog(
    Store &store, Scheduler &scheduler, const Clock &clock, PartitionIdentity partition, TakenOver writer)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_clock(clock)
    , m_partition(std::move(partition))
    , m_writer(std::move(writer))
{
}

ShardLog::~ShardLog()
{
    *m_alive = false;
}

void ShardLog::recover(std::function<void(Result<TaskTable>)> handler, DeposedHandler deposed)
{
    m_recovered = std::move(handler);
    m_deposedHandler = std::move(deposed);
    readSnapshot();
}

void ShardLog::recoverAgain()
{
    retry([this] { readSnapshot(); });
}

void ShardLog::readSnapshot()
{
    m_store.read(ClusterKeys::snapshot(m_partition), guarded([this](const Result<std::optional<StoreEntry>> &result) {
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry == nullptr) {
            recoverAgain();
            return;
        }
        if (!*entry) {
            readLog(MustNotExist, TaskTable(), 0);
            return;
        }
        const Result<Json> parsed = parseJson((*entry)->value, "the snapshot of " + m_partition.text());
        if (const Error *error = errorOf(parsed)) {
            m_recovered(*error);
            return;
        }
        const Json &document = std::get<Json>(parsed);
        readLog((*entry)->revision, TaskTable::parse(memberOr(document, "state", Json::object())),
            memberOr(document, "through", std::uint64_t {0}));
    }));
}

void ShardLog::readLog(StoreRevision snapshotRevision, TaskTable table, std::uint64_t through)
{
    const auto onListing
        = [this, snapshotRevision, table = std::move(table), through](const Result<StoreListing> &result) {
              const auto *listing = std::get_if<StoreListing>(&result);
              if (listing == nullptr) {
                  recoverAgain();
                  return;
              }
              m_snapshotRevision = snapshotRevision;
              replay(*listing, table, through);
          };
    m_store.list(ClusterKeys::logPrefix(m_partition), guarded(onListing));
}

void ShardLog::replay(const StoreListing &listing, TaskTable table, std::uint64_t through)
{
    std::map<std::uint64_t, std::vector<ShardRecord>> commits;
    m_slotRevisions.clear();
    for (const StoreEntry &entry : listing.entries) {
        m_slotRevisions[entry.key] = entry.revision;
        Result<Commit> commit = parseCommit(entry);
        if (const Error *error = errorOf(commit)) {
            m_recovered(*error);
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
            // The predecessor wrote a newer snapshot and reused slots between the two reads.
            recoverAgain();
            return;
        }
        for (const ShardRecord &record : records) {
            table.apply(record);
        }
        ++expected;
    }
    if (table.token() > m_writer.token) {
        // This instance was slow: a later owner has begun already, and must not be fenced by an earlier one.
        depose();
        return;
    }
    table.apply(m_writer);
    m_snapshotThrough = through;
    m_nextSequence = expected;
    fence(std::move(table));
}

StoreRevision ShardLog::slotRevision(const std::string &key) const
{
    const auto found = m_slotRevisions.find(key);
    return found == m_slotRevisions.end() ? MustNotExist : found->second;
}

StoreWrite ShardLog::slotWrite(std::string value) const
{
    const std::string key = ClusterKeys::logSlot(m_partition, m_nextSequence % RingSlots);
    return {key, std::move(value), slotRevision(key), 0};
}

bool ShardLog::hasRoom() const
{
    return m_nextSequence + 1 < m_snapshotThrough + RingSlots;
}

void ShardLog::fence(TaskTable table)
{
    StoreWrite write = slotWrite(encode({m_writer}));
    const auto onWritten = [this, key = write.key, table = std::move(table)](const Result<StoreRevision> &result) {
        if (errorOf(result) != nullptr) {
            // The predecessor got in another commit, or the answer was lost: read on from there.
            recoverAgain();
            return;
        }
        m_slotRevisions[key] = std::get<StoreRevision>(result);
        ++m_nextSequence;
        m_recovered(table);
    };
    m_store.write(std::move(write), guarded(onWritten));
}

std::string ShardLog::encode(const std::vector<ShardRecord> &records)
{
    Json documents = Json::array();
    for (const ShardRecord &record : records) {
        documents.push_back(describe(record));
    }
    const std::string mark
        = m_writer.instance + "/" + std::to_string(m_writer.token) + "/" + std::to_string(++m_batchNumber);
    return writeJson({{"sequence", m_nextSequence}, {"mark", mark}, {"records", std::move(documents)}});
}

void ShardLog::append(std::vector<ShardRecord> records, Handler handler)
{
    if (m_deposed) {
        handler(deposedError());
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

void ShardLog::commitNext()
{
    if (m_waiting.handlers.empty()) {
        m_writing = false;
        return;
    }
    if (!hasRoom()) {
        retry([this] { commitNext(); });
        return;
    }
    m_current = std::move(m_waiting);
    m_waiting = Batch();
    m_current.value = encode(m_current.records);
    writeBatch();
}

void ShardLog::writeBatch()
{
    StoreWrite write = slotWrite(m_current.value);
    const std::string key = write.key;
    m_store.write(std::move(write), guarded([this, key](const Result<StoreRevision> &result) {
        const Error *error = errorOf(result);
        if (error == nullptr) {
            m_slotRevisions[key] = std::get<StoreRevision>(result);
            finishBatch(std::monostate());
        } else if (error->kind == ErrorKind::Conflict) {
            settleBatch();
        } else {
            retry([this] { settleBatch(); });
        }
    }));
}

void ShardLog::settleBatch()
{
    const std::string key = ClusterKeys::logSlot(m_partition, m_nextSequence % RingSlots);
    m_store.read(key, guarded([this, key](const Result<std::optional<StoreEntry>> &result) {
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry == nullptr) {
            retry([this] { settleBatch(); });
            return;
        }
        const StoreRevision present = *entry ? (*entry)->revision : MustNotExist;
        if (present == slotRevision(key)) {
            writeBatch();
        } else if (*entry && (*entry)->value == m_current.value) {
            m_slotRevisions[key] = present;
            finishBatch(std::monostate());
        } else {
            depose();
        }
    }));
}

void ShardLog::finishBatch(const Status &status)
{
    ++m_nextSequence;
    const Batch finished = std::move(m_current);
    m_current = Batch();
    for (const Handler &handler : finished.handlers) {
        handler(status);
    }
    commitNext();
}

void ShardLog::depose()
{
    m_deposed = true;
    const Batch current = std::move(m_current);
    const Batch waiting = std::move(m_waiting);
    m_current = Batch();
    m_waiting = Batch();
    for (const Handler &handler : current.handlers) {
        handler(deposedError());
    }
    for (const Handler &handler : waiting.handlers) {
        handler(deposedError());
    }
    m_deposedHandler();
}

void ShardLog::compact(const TaskTable &durable, std::int64_t claimsBefore)
{
    const std::uint64_t through = m_nextSequence - 1;
    if (m_snapshotWriting || m_deposed || through < m_snapshotThrough + CommitsPerSnapshot) {
        return;
    }
    TaskTable trimmed = durable;
    std::size_t kept = KeptFinalTasks;
    trimmed.forgetClaims(claimsBefore);
    trimmed.forgetTasks(m_clock.wallMilliseconds() - KeptFinalMilliseconds, kept);
    std::string value = writeJson({{"through", through}, {"state", trimmed.snapshot()}});
    while (value.size() > LargestValue && kept > 0) {
        kept /= 2;
        trimmed.forgetTasks(0, kept);
        value = writeJson({{"through", through}, {"state", trimmed.snapshot()}});
    }
    if (value.size() > LargestValue) {
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

// A predecessor may still have written its last snapshot, which is true but older, or an answer was lost.
void ShardLog::refreshSnapshotRevision()
{
    m_store.read(ClusterKeys::snapshot(m_partition), guarded([this](const Result<std::optional<StoreEntry>> &result) {
        m_snapshotWriting = false;
        const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
        if (entry != nullptr) {
            m_snapshotRevision = *entry ? (*entry)->revision : MustNotExist;
        }
    }));
}

Milliseconds ShardLog::stalledFor() const
{
    if (!m_writing) {
        return Milliseconds(0);
    }
    const Instant since = m_current.handlers.empty() ? m_waiting.since : m_current.since;
    return std::chrono::duration_cast<Milliseconds>(m_clock.now() - since);
}

bool ShardLog::isIdle() const
{
    return !m_writing;
}

void ShardLog::retry(std::function<void()> action)
{
    m_scheduler.after(RetryDelay, guarded(std::move(action)));
}

}
