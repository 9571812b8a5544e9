#include "jobs/PartitionLog.h"

#include "testing/FaultyStore.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// A writer of the log with its own connection to the store.
struct Writer
{
    Writer(StandinStore &state, ManualScheduler &scheduler, ManualClock &clock, FencingToken token)
        : store(state, scheduler)
        , log(store, scheduler, clock, {"depot", 0}, {"writer-" + std::to_string(token), token})
    {
        log.recover([this](Result<TaskTable> result) { table = std::get<TaskTable>(std::move(result)); },
            [this] { ownershipLost = true; });
    }

    FaultyStore store;
    PartitionLog log;
    std::optional<TaskTable> table;
    bool ownershipLost = false;
};

PartitionLogRecord claimOf(int number)
{
    return KeyClaimed {"key-" + std::to_string(number), 1, 1'800'000'000'000};
}

}

// Every new owner recovers the records that were acknowledged as durable, despite lost answers, store outages,
// concurrent writers and wrap-arounds of the ring buffer.
RC_GTEST_PROP(PartitionLog, recoversAcknowledgedRecords, ())
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    std::vector<std::unique_ptr<Writer>> writers;
    FencingToken token = 0;
    std::set<std::string> durable;
    int number = 0;
    const auto replace = [&] {
        writers.push_back(std::make_unique<Writer>(state, scheduler, clock, ++token));
        scheduler.advance(Milliseconds(*rc::gen::inRange(0, 2) * 500));
    };
    const auto append = [&](Writer &writer, int count) {
        for (int i = 0; i < count && writer.table; ++i) {
            const PartitionLogRecord record = claimOf(number++);
            writer.log.append({record}, [&durable, &writer, record](const Status &status) {
                if (errorOf(status) == nullptr) {
                    writer.table->apply(record);
                    durable.insert(std::get<KeyClaimed>(record).key);
                }
            });
            scheduler.advance(Milliseconds(5), Milliseconds(1));
            writer.log.compact(*writer.table, 0);
        }
    };
    replace();
    scheduler.advance(Milliseconds(500));
    const auto steps = *rc::gen::resize(30,
        rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 200))));
    for (const auto &[kind, argument] : steps) {
        Writer &some = *writers[static_cast<std::size_t>(argument) % writers.size()];
        if (kind == 0) {
            replace();
        } else if (kind == 1) {
            writers.back()->store.loseAnswers = argument % 4;
        } else if (kind == 2) {
            writers.back()->store.down = argument % 2 == 0;
        } else if (kind == 3) {
            append(*writers.back(), argument * 6);
        } else {
            append(some, 1 + argument % 5);
        }
    }
    for (const auto &writer : writers) {
        writer->store.down = false;
        writer->store.loseAnswers = 0;
    }
    scheduler.advance(Milliseconds(3'000));
    Writer reader(state, scheduler, clock, ++token);
    scheduler.advance(Milliseconds(1'000));
    RC_ASSERT(reader.table.has_value());
    for (const std::string &key : durable) {
        RC_ASSERT(reader.table->findClaim(key) != nullptr);
    }
}

// A writer that was paused while its successor's commits wrapped around the ring buffer can no longer write.
TEST(PartitionLog, fencesAWriterPausedDuringAWrapAround)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    Writer old(state, scheduler, clock, 1);
    scheduler.advance(Milliseconds(500));
    Writer successor(state, scheduler, clock, 2);
    scheduler.advance(Milliseconds(500));
    constexpr int MoreThanOneRound = 1100;
    for (int i = 0; i < MoreThanOneRound; ++i) {
        const PartitionLogRecord record = claimOf(i);
        successor.log.append({record}, [&](const Status &status) {
            ASSERT_EQ(errorOf(status), nullptr);
            successor.table->apply(record);
        });
        scheduler.advance(Milliseconds(10), Milliseconds(2));
        successor.log.compact(*successor.table, 0);
        scheduler.advance(Milliseconds(10), Milliseconds(2));
    }
    std::optional<Status> told;
    old.log.append({claimOf(MoreThanOneRound)}, [&told](const Status &status) { told = status; });
    scheduler.advance(Milliseconds(1'000));
    ASSERT_TRUE(told.has_value());
    EXPECT_NE(errorOf(*told), nullptr);
    EXPECT_TRUE(old.ownershipLost);
}

}
