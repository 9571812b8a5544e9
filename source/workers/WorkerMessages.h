#pragma once

#include "base/Error.h"
#include "base/Outcome.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

// Increases with every change of a worker's owner. A worker refuses tokens lower than the highest it has seen.
using FencingToken = std::uint64_t;

// A worker as the platform's instance list describes it.
struct WorkerDescription
{
    std::string name;
    std::string address;
    std::string dataCentre;
    std::string rack;
    Resources capacity;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    bool leaving = false;

    bool operator==(const WorkerDescription &) const = default;
};

// Identifies one run of a task by the task and its attempt number.
struct TaskAttempt
{
    std::string task;
    std::uint64_t attempt = 0;

    auto operator<=>(const TaskAttempt &) const = default;
};

// Tells a worker to start an attempt.
struct TaskStart
{
    TaskAttempt attempt;
    // The incarnation of the worker that the attempt is assigned to; any other incarnation refuses the start.
    std::string incarnation;
    // The sequence number of the last report that the owner received from the worker. The worker refuses the start
    // once a lease that began with that report has expired, because the owner may have given the task to another
    // worker.
    std::uint64_t lastReportSequence = 0;
    std::string profile;
    Resources resources;
    std::string payload;
    std::string checkpoint;
};

// The state of an attempt as its worker reports it.
enum class WorkerTaskState {
    Running,
    Done,
    Failed,
    Stopped,
    // The lease expired and the worker ended the attempt.
    LeaseExpired,
    // The worker does not know the attempt.
    Absent,
};

[[nodiscard]] std::string_view nameOf(WorkerTaskState state);
[[nodiscard]] WorkerTaskState workerTaskStateFromName(std::string_view name);

// A worker's report on one attempt.
struct TaskReport
{
    TaskAttempt attempt;
    WorkerTaskState state = WorkerTaskState::Running;
    std::string profile;
    Resources declared;
    Resources observed;
    std::string checkpoint;
    std::string result;
};

// Renews the leases of all tasks of a worker and acknowledges the ended attempts that the owner has recorded.
// The leases run from the time at which the worker sent the report that the heartbeat echoes, so that a delayed
// heartbeat can't extend them beyond what its sender expects.
struct Heartbeat
{
    std::string owner;
    FencingToken token = 0;
    std::int64_t leaseMilliseconds = 0;
    std::uint64_t echoedSequence = 0;
    // The version of the task list that the owner has processed. The worker omits the list if it is unchanged.
    std::string knownTasksVersion;
    std::vector<TaskAttempt> recordedEnds;
};

// A worker's answer to a heartbeat.
struct WorkerReport
{
    std::uint64_t sequence = 0;
    // Changes when the worker restarts and has lost its tasks.
    std::string incarnation;
    Resources capacity;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::int64_t busySlots = 0;
    bool leaving = false;
    std::string tasksVersion;
    // Whether the task list still has the version that the heartbeat named and is therefore omitted.
    bool tasksUnchanged = false;
    std::vector<TaskReport> tasks;
};

// A worker's answer to a stop call.
struct StopAnswer
{
    WorkerTaskState state = WorkerTaskState::Stopped;
    std::string incarnation;
    std::string checkpoint;
    std::string result;
};

// One attempt of a request at a worker.
struct RequestAttempt
{
    std::string request;
    std::uint64_t attempt = 0;
    std::string profile;
    std::string workerAddress;
    FencingToken token = 0;
    bool idempotent = false;
    std::int64_t timeoutMilliseconds = 0;
    std::string body;
};

// The result of one attempt. If the outcome is Done, status, content type and body are the worker's; otherwise the
// error says what failed.
struct RequestResult
{
    Outcome outcome = Outcome::NotRun;
    int status = 0;
    std::string contentType;
    std::string body;
    Error error;
};

}
