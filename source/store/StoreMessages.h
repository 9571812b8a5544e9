#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The store's counter of changes; every change takes the next value.
using StoreRevision = std::uint64_t;

// Identifies a lease granted by the store; zero means none.
using LeaseIdentifier = std::uint64_t;

// The expected revision of a key that must not exist yet.
constexpr StoreRevision MustNotExist = 0;

struct StoreEntry
{
    std::string key;
    std::string value;
    StoreRevision revision = 0;
    LeaseIdentifier lease = 0;

    bool operator==(const StoreEntry &) const = default;
};

// All entries below a prefix, as of one revision of the store.
struct StoreListing
{
    StoreRevision revision = 0;
    std::vector<StoreEntry> entries;
};

// A compare-and-swap. Without an expected revision the write is unconditional.
struct StoreWrite
{
    std::string key;
    std::string value;
    std::optional<StoreRevision> expected;
    LeaseIdentifier lease = 0;
};

// A condition of a transaction: the key's present revision, or MustNotExist.
struct StoreCondition
{
    std::string key;
    StoreRevision revision = MustNotExist;

    bool operator==(const StoreCondition &) const = default;
};

// Writes and erases that take effect together, if all conditions hold, or not at all.
// The expected revisions of the writes are not used: state them as conditions.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> erasures;
};

// The outcome of a transaction. When it was not committed, `present` holds the existing keys among its conditions.
struct StoreTransactionResult
{
    bool committed = false;
    StoreRevision revision = 0;
    std::vector<StoreEntry> currentEntries;

    // Returns the present revision of a condition's key after a refused transaction; MustNotExist when there is none.
    [[nodiscard]] StoreRevision currentRevision(const std::string &key) const;
};

struct StoreEvent
{
    StoreEntry entry;
    bool erased = false;
};

// Changes after the revision that a watch was asked from, oldest first.
struct StoreEvents
{
    StoreRevision revision = 0;
    std::vector<StoreEvent> events;
};

}
