#pragma once

#include "base/Outcome.h"
#include "jobs/TaskSpecification.h"
#include "workers/WorkerMessages.h"

#include <string>
#include <variant>
#include <vector>

namespace Wagtail
{

// Where a task stands, as far as the log says. The phases from Done on are final.
enum class TaskPhase {
    Waiting,
    Assigned,
    Moving,
    Done,
    Failed,
    Cancelled,
    // It started, may not be repeated, and its result could not be established.
    Unknown,
    // Another partition keeps it now.
    Moved,
};

[[nodiscard]] std::string_view nameOf(TaskPhase phase);
[[nodiscard]] TaskPhase taskPhaseFromName(std::string_view name);
[[nodiscard]] bool isFinal(TaskPhase phase);

// Why an attempt ended without finishing its task.
enum class ReleaseReason {
    // It never started.
    NotStarted,
    // It was stopped, with or without a checkpoint.
    Evicted,
    // Its worker was lost, or its lease there ran out.
    Lost,
    // It ran and failed.
    Failed,
};

[[nodiscard]] std::string_view nameOf(ReleaseReason reason);
[[nodiscard]] ReleaseReason releaseReasonFromName(std::string_view name);

struct TaskAccepted
{
    TaskSpecification specification;
    std::uint64_t lastAttempt = 0;
    std::string checkpoint;
    // How often the task has moved between partitions; tells a new offer from a repeated one.
    std::uint64_t moves = 0;
};

// Allows one attempt to start on one worker. It is durable before the start is sent.
struct TaskAssigned
{
    TaskAttempt attempt;
    std::string worker;
    // The incarnation of the worker that the assigner knew.
    std::string incarnation;
};

// Ends an attempt and names the checkpoint from which the next one resumes.
struct TaskReleased
{
    TaskAttempt attempt;
    ReleaseReason reason = ReleaseReason::NotStarted;
    std::string checkpoint;
    std::string detail;
};

struct TaskFinished
{
    std::string task;
    TaskPhase phase = TaskPhase::Done;
    std::string result;
    std::int64_t finishedAt = 0;
};

struct TaskCancelRequested
{
    std::string task;
};

struct TaskMoveStarted
{
    std::string task;
    std::string target;
};

// Ends a move: the target keeps the task, or has refused it and never will keep it for this move.
struct TaskMoveEnded
{
    std::string task;
    bool accepted = false;
};

struct KeyClaimed
{
    std::string key;
    std::uint64_t digest = 0;
    std::int64_t claimedAt = 0;
};

// Records the outcome of a claimed request. NotRun frees the key.
struct KeyOutcomeRecorded
{
    std::string key;
    Outcome outcome = Outcome::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
};

struct TakenOver
{
    std::string instance;
    FencingToken token = 0;
};

using ShardRecord = std::variant<TaskAccepted, TaskAssigned, TaskReleased, TaskFinished, TaskCancelRequested,
    TaskMoveStarted, TaskMoveEnded, KeyClaimed, KeyOutcomeRecorded, TakenOver>;

[[nodiscard]] Json describe(const ShardRecord &record);
[[nodiscard]] Result<ShardRecord> parseShardRecord(const Json &document);

}
