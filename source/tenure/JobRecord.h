#pragma once

#include "scheduling/JobState.h"
#include "scheduling/QueuePolicy.h"
#include "scheduling/TaskDelegation.h"

#include <optional>

namespace Wagtail
{

// An accepted job as it is stored. Its progress has a separate key.
struct JobRecord
{
    JobSpecification specification;
    QueuePolicy policy;
    // Time of the submission by the wall clock, in milliseconds.
    std::int64_t acceptedWall = 0;
    // The tasks that the job's home partition has delegated to the partition with this record. Empty in the home
    // partition.
    std::vector<DelegatedTask> delegated;

    bool operator==(const JobRecord &) const = default;
};

[[nodiscard]] std::string serialize(const JobRecord &record);

// Reads what serialize() wrote. Fails with InvalidInput.
[[nodiscard]] Result<JobRecord> parseJobRecord(const std::string &text);

// A request that an instance leaves for an owner that it can't reach, or that an owner sends to another partition.
enum class InboxRequest {
    Submit,
    Cancel,
    // Runs some tasks of a job whose home is another partition.
    Delegate,
    // Fails a job because the partition to which some of its tasks were delegated has given them up.
    GiveUp,
    // Takes back tasks for which the partition to which they were delegated has found no worker.
    Return,
    // Takes over a job of which nothing runs, whose keys the transaction with the request has moved here.
    Move,
};

[[nodiscard]] std::string_view nameOf(InboxRequest request);

// A request in a partition's inbox.
struct InboxEntry
{
    InboxRequest request = InboxRequest::Submit;
    std::string job;
    // Set in submissions and delegations only.
    std::optional<JobRecord> record;
    // The tasks that were given up or given back.
    std::vector<DelegatedTask> tasks = {};
    // The partition that gives tasks back or hands a job over. Set in returns and moves only.
    std::string partition = {};
    // Whether no partition had accepted the job when the entry was written, so that one may do so later. Set in
    // cancellations only.
    bool isEarly = false;
    // The partition that holds places for the tasks that are given back, or empty. Set in returns only.
    std::string nextPartition = {};
};

[[nodiscard]] std::string serialize(const InboxEntry &entry);

// Reads what serialize() wrote. Fails with UnsupportedProtocol if the request is of a later version, and otherwise with
// InvalidInput.
[[nodiscard]] Result<InboxEntry> parseInboxEntry(const std::string &text);

}
