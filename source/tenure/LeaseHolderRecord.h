#pragma once

#include "base/JsonReader.h"
#include "scheduling/WorkerGateway.h"

#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// The workers that may hold leases of a leader term, as the store has them for the owner of the next term.
struct LeaseHolderRecord
{
    std::vector<WorkerListing> workers;
    // The longest lease that the term grants. Missing in records of versions that granted the longest lease that the
    // platform allows.
    std::optional<Milliseconds> leaseDuration;

    bool operator==(const LeaseHolderRecord &) const = default;
};

// Returns the record as text for the store. Of each worker, only what an owner needs to reach it is kept.
[[nodiscard]] std::string serialize(const LeaseHolderRecord &record);

// Parses the text that serialize() returned, or that of a version that recorded the workers only. Text that can't be
// parsed gives an empty record.
[[nodiscard]] LeaseHolderRecord parseLeaseHolderRecord(const std::string &text);

}
