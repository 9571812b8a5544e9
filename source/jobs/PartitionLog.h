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

// The log of a partition: a ring buffer of keys in the store, each holding one group commit.
// A commit writes the next slot by compare-and-swap on the revision at which this writer last read or wrote the slot.
// The first commit of a new owner takes the slot that its predecessor would write next, so that every later commit of
// the predecessor fails, even when it was paused until the ring wrapped around. Slots are never erased.
class PartitionLog
{
public:
    using Handler = std::function<void(Status)>;
    // Called once when another instance has taken over the log.
    using OwnershipLostHandler = std::function<void()>;

    PartitionLog(Store &store, Scheduler &scheduler, const Clock &clock, PartitionIdentity partition, TakenOver writer);
    ~PartitionLog();
    PartitionLog(const PartitionLog &) = delete;
    PartitionLog &operator=(const PartitionLog &) = delete;

    // Reads the snapshot and the log, fences the previous owner and passes the recovered state to the handler.
    void recover(std::function<void(Result<TaskTable>)> handler, OwnershipLostHandler ownershipLost);

    // Appends the records to the next group commit. The handler gets success once they are durable, or NotOwner when
    // another instance has taken over; during a store outage the call is delayed.
    void append(std::vector<PartitionLogRecord> records, Handler handler);

    // Writes a snapshot of the durable state once enough commits follow the last one. Claims made before the given wall
    // time, in milliseconds, are left out.
    void compact(const TaskTable &durable, std::int64_t claimsBefore);

    // Returns whether another commit fits without overwriting a slot that the last snapshot does not cover.
    [[nodiscard]] bool hasFreeSlot() const;

    // Returns how long the oldest commit has been waiting for the store, or zero when none waits.
    [[nodiscard]] Milliseconds stalledFor() const;

    [[nodiscard]] bool isIdle() const;

private:
    struct Batch
    {
        std::vector<PartitionLogRecord> records;
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
    void restartRecovery();
    void commitNext();
    void writeBatch();
    void verifyBatchWrite();
    void finishBatch(const Status &status);
    void loseOwnership();
    [[nodiscard]] std::string encode(const std::vector<PartitionLogRecord> &records);
    void retry(std::function<void()> action);
    template<typename Function> auto guarded(Function function);

    Store &m_store;
    Scheduler &m_scheduler;
    const Clock &m_clock;
    PartitionIdentity m_partition;
    TakenOver m_writer;
    std::function<void(Result<TaskTable>)> m_recoveryHandler;
    OwnershipLostHandler m_ownershipLostHandler;
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_batchNumber = 0;
    // The last sequence number that the snapshot covers.
    std::uint64_t m_snapshotThrough = 0;
    // The revision of each slot when this writer last read or wrote it.
    std::map<std::string, StoreRevision> m_slotRevisions;
    StoreRevision m_snapshotRevision = MustNotExist;
    bool m_snapshotWriting = false;
    bool m_ownershipLost = false;
    bool m_writing = false;
    // The batch that is being written, and the records that wait for the next one.
    Batch m_current;
    Batch m_waiting;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
