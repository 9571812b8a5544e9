#pragma once

#include "base/PartitionIdentity.h"
#include "base/Scheduler.h"
#include "jobs/TaskTable.h"
#include "store/Store.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Wagtail
{

// A partition's log in the store: a ring of small keys, each holding one group commit.
// A commit replaces its slot by compare-and-swap on the revision that the slot had when its last content was read or
// written. A successor's first commit takes the next slot, so that every later commit of its predecessor fails, also
// when the predecessor was paused for so long that the ring has gone round. Slots are never erased.
class ShardLog
{
public:
    using Handler = std::function<void(Status)>;
    // Called once when another instance has taken the log over.
    using DeposedHandler = std::function<void()>;

    ShardLog(Store &store, Scheduler &scheduler, const Clock &clock, PartitionIdentity partition, TakenOver writer);
    ~ShardLog();
    ShardLog(const ShardLog &) = delete;
    ShardLog &operator=(const ShardLog &) = delete;

    // Reads snapshot and log, fences the predecessor, and passes on the recovered state.
    void recover(std::function<void(Result<TaskTable>)> handler, DeposedHandler deposed);

    // Makes the records durable, together with others that wait. The handler hears success once they are durable,
    // or NotOwner when another instance has taken over; during an outage of the store it waits.
    void append(std::vector<ShardRecord> records, Handler handler);

    // Writes a snapshot of the durable state when enough commits have gathered since the last one.
    void compact(const TaskTable &durable, std::int64_t claimsBefore);

    // Returns whether the ring has room for another commit before the next snapshot.
    [[nodiscard]] bool hasRoom() const;

    // Returns how long the oldest commit has been waiting for the store; zero when none waits.
    [[nodiscard]] Milliseconds stalledFor() const;

    [[nodiscard]] bool isIdle() const;

private:
    struct Batch
    {
        std::vector<ShardRecord> records;
        std::vector<Handler> handlers;
        std::string value;
        Instant since;
    };

    using StatusHandler = std::function<void(Status)>;

    void readSnapshot();
    void readLog(StoreRevision snapshotRevision, TaskTable table, std::uint64_t through);
    void replay(const StoreListing &listing, TaskTable table, std::uint64_t through);
    [[nodiscard]] StoreWrite slotWrite(std::string value) const;
    [[nodiscard]] StoreRevision slotRevision(const std::string &key) const;
    void refreshSnapshotRevision();
    void fence(TaskTable table);
    void recoverAgain();
    void commitNext();
    void writeBatch();
    void settleBatch();
    void finishBatch(const Status &status);
    void depose();
    [[nodiscard]] std::string encode(const std::vector<ShardRecord> &records);
    void retry(std::function<void()> action);
    template<typename Function> auto guarded(Function function);

    Store &m_store;
    Scheduler &m_scheduler;
    const Clock &m_clock;
    PartitionIdentity m_partition;
    TakenOver m_writer;
    std::function<void(Result<TaskTable>)> m_recovered;
    DeposedHandler m_deposedHandler;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_batchNumber = 0;
    std::uint64_t m_snapshotThrough = 0;
    std::map<std::string, StoreRevision> m_slotRevisions;
    StoreRevision m_snapshotRevision = MustNotExist;
    bool m_snapshotWriting = false;
    bool m_deposed = false;
    bool m_writing = false;
    Batch m_current;
    Batch m_waiting;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
