#pragma once

#include "base/Outcome.h"
#include "jobs/TaskSpecification.h"
#include "workers/WorkerMessages.h"

#include <string>
#include <variant>
#include <vector>

namespace Wagtail
{

// The phase of a task according to the log. Done and the phases after it are final.
enum class TaskPhase {
    Waiting,
    Assigned,
    Moving,
    Done,
    Failed,
    Cancelled,
    // It may have started, may run at most once, and its result is not known.
    Unknown,
    // Another partition owns it now.
    Moved,
};

[[nodiscard]] std::string_view nameOf(TaskPhase phase);
[[nodiscard]] TaskPhase taskPhaseFromName(std::string_view name);
[[nodiscard]] bool isFinal(TaskPhase phase);

// Says why an attempt ended without finishing its task.
enum class ReleaseReason {
    // It never started.
    NotStarted,
    // It was stopped, with or without a checkpoint.
    Evicted,
    // Its worker was lost, or its lease on the worker expired.
    Lost,
    // It ran and failed.
    Failed,
};

[[nodiscard]] std::string_view nameOf(ReleaseReason reason);
[[nodiscard]] ReleaseReason releaseReasonFromName(std::string_view name);

// Adds a task to the partition, submitted by a caller or moved from another partition.
struct TaskAccepted
{
    TaskSpecification specification;
    std::uint64_t lastAttempt = 0;
    std::string checkpoint;
    // How often the task has moved between partitions; distinguishes a new move to this partition from a repeated call.
    std::uint64_t moves = 0;
};

// Assigns an attempt to a worker. The record is durable before the start is sent.
struct TaskAssigned
{
    TaskAttempt attempt;
    std::string worker;
    // The incarnation of the worker at the time of the assignment.
    std::string incarnation;
};

// Ends an attempt; the next one resumes from the checkpoint if there is one.
struct TaskReleased
{
    TaskAttempt attempt;
    ReleaseReason reason = ReleaseReason::NotStarted;
    std::string checkpoint;
    std::string detail;
};

// Ends a task with a final phase.
struct TaskFinished
{
    std::string task;
    TaskPhase phase = TaskPhase::Done;
    std::string result;
    // Wall time in milliseconds.
    std::int64_t finishedAt = 0;
};

struct TaskCancelRequested
{
    std::string task;
};

// Starts to move a waiting task to the target partition.
struct TaskMoveStarted
{
    std::string task;
    std::string target;
};

// Ends a move: the target has accepted the task, or has refused it and will not accept it for this move later.
struct TaskMoveEnded
{
    std::string task;
    bool accepted = false;
};

// Claims an idempotency key. The digest identifies the request.
struct KeyClaimed
{
    std::string key;
    std::uint64_t digest = 0;
    // Wall time in milliseconds.
    std::int64_t claimedAt = 0;
};

// Records the outcome of the request that claimed a key. NotRun frees the key for another attempt.
struct KeyOutcomeRecorded
{
    std::string key;
    Outcome outcome = Outcome::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};

// Starts the leader term of a new owner; commits of owners with lower tokens fail from here on.
struct TakenOver
{
    std::string instance;
    FencingToken token = 0;
};

using PartitionLogRecord = std::variant<TaskAccepted, TaskAssigned, TaskReleased, TaskFinished, TaskCancelRequested,
    TaskMoveStarted, TaskMoveEnded, KeyClaimed, KeyOutcomeRecorded, TakenOver>;

[[nodiscard]] Json describe(const PartitionLogRecord &record);
[[nodiscard]] Result<PartitionLogRecord> parsePartitionLogRecord(const Json &document);

}
