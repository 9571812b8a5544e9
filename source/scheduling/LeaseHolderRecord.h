#pragma once

#include "base/JsonReader.h"
#include "scheduling/TaskName.h"
#include "scheduling/WorkerGateway.h"

#include <map>
#include <optional>
#include <set>
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
    // The leader term that wrote the record. Only the owner of the next term may rely on finalExpiries, because owners
    // of earlier versions grant leases without regard to them.
    std::uint64_t term = 0;
    // For workers that seem to be lost, the time after the record was written by which their last lease has surely
    // expired. The owner grants them no lease before it has replaced the record.
    std::map<std::string, Milliseconds> finalExpiries;
    // Whether the term granted leases only to workers that the stored record named. Earlier versions did not.
    bool namesAllHolders = false;
    // Whether the owner of the term, and those of earlier terms, start nothing any more. An owner that hands over says
    // so.
    bool endedStarts = false;
    // Whether the owners of the terms before start nothing any more.
    bool earlierStartsEnded = false;
    // For workers with a final expiry, the only tasks that may run there until then, or may have ended there without
    // the store knowing. Any task may on workers that are missing here. Only the owner of the next term may rely on it.
    std::map<std::string, std::set<TaskName>> finalTasks;

    bool operator==(const LeaseHolderRecord &) const = default;
};

// Returns the record as text for the store. Of each worker, only what an owner needs to reach it is kept.
[[nodiscard]] std::string serialize(const LeaseHolderRecord &record);

// Parses the text that serialize() returned, or that of a version that recorded the workers only. Text that can't be
// parsed gives an empty record.
[[nodiscard]] LeaseHolderRecord parseLeaseHolderRecord(const std::string &text);

}
