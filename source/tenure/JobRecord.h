#pragma once

#include "scheduling/JobState.h"
#include "scheduling/QueuePolicy.h"

#include <optional>

namespace Wagtail
{

// An accepted job as the store keeps it, next to its progress.
struct JobRecord
{
    JobSpecification specification;
    QueuePolicy policy;
    // Wall time of the submission in milliseconds.
    std::int64_t acceptedWall = 0;
    // The tasks that a partition runs for the job's home partition; empty in the home partition itself.
    std::vector<DelegatedTask> delegated;

    bool operator==(const JobRecord &) const = default;
};

[[nodiscard]] std::string serialize(const JobRecord &record);

// Reads what serialize() wrote. Fails with InvalidInput.
[[nodiscard]] Result<JobRecord> parseJobRecord(const std::string &text);

// What an entry asks of an owner that it can't reach, or one owner of another.
enum class InboxRequest {
    Submit,
    Cancel,
    // Runs some tasks of a job that lives in another partition.
    Delegate,
};

[[nodiscard]] std::string_view nameOf(InboxRequest request);

struct InboxEntry
{
    InboxRequest request = InboxRequest::Submit;
    std::string job;
    std::optional<JobRecord> record;
};

[[nodiscard]] std::string serialize(const InboxEntry &entry);
[[nodiscard]] Result<InboxEntry> parseInboxEntry(const std::string &text);

}
