#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The store's revision, which increases with every change.
using StoreRevision = std::uint64_t;

// Identifies a lease that the store granted. Zero means no lease.
using LeaseIdentifier = std::uint64_t;

// As an expected revision: the key must not exist.
constexpr StoreRevision MustNotExist = 0;

struct StoreEntry
{
    std::string key;
    std::string value;
    StoreRevision revision = 0;
    LeaseIdentifier lease = 0;

    bool operator==(const StoreEntry &) const = default;
};

// All entries below a prefix at one revision of the store.
struct StoreListing
{
    StoreRevision revision = 0;
    std::vector<StoreEntry> entries;
};

// A compare-and-swap write. It is unconditional without an expected revision.
struct StoreWrite
{
    std::string key;
    std::string value;
    std::optional<StoreRevision> expected;
    LeaseIdentifier lease = 0;
};

// A condition of a transaction: the key's expected revision, or MustNotExist.
struct StoreCondition
{
    std::string key;
    StoreRevision revision = MustNotExist;

    bool operator==(const StoreCondition &) const = default;
};

// Writes and erasures that are applied together if all conditions hold, and otherwise not at all.
// The expected revisions of the writes are ignored and must be stated as conditions.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> erasures;
};

// The result of a transaction. If it was not committed, `currentEntries` has the entries of the conditions' keys that
// exist.
struct StoreTransactionResult
{
    bool committed = false;
    StoreRevision revision = 0;
    std::vector<StoreEntry> currentEntries;

    // Returns the entry of a condition's key after an uncommitted transaction, or null if the key does not exist.
    [[nodiscard]] const StoreEntry *currentEntry(const std::string &key) const;

    // Returns the current revision of a condition's key after an uncommitted transaction, or MustNotExist if the key
    // does not exist.
    [[nodiscard]] StoreRevision currentRevision(const std::string &key) const;
};

// A change of one key. For an erasure, the entry has the key and the revision at which it was erased.
struct StoreEvent
{
    StoreEntry entry;
    bool erased = false;
};

// The changes after the revision that a watch started from, oldest first. The next watch starts from `revision`.
struct StoreEvents
{
    StoreRevision revision = 0;
    std::vector<StoreEvent> events;
    // Whether the events show all entries that exist, so that those which they do not show are gone.
    bool isListing = false;
};

}
