#pragma once

#include "base/Error.h"
#include "base/Outcome.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

// Grows with every change of a worker's owner; a worker refuses tokens below the highest it has seen.
using FencingToken = std::uint64_t;

// A worker as the platform's instance list shows it.
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

// One run of a task: the task and the number of its attempt.
struct TaskAttempt
{
    std::string task;
    std::uint64_t attempt = 0;

    auto operator<=>(const TaskAttempt &) const = default;
};

struct TaskStart
{
    TaskAttempt attempt;
    // The incarnation of the worker to which the attempt is assigned; any other refuses the start.
    std::string incarnation;
    // The sequence number of the worker's last report that the owner has seen. The worker refuses the start once a
    // lease that began with that report would be over, since its owner may have given the task to another worker.
    std::uint64_t lastReportSequence = 0;
    std::string profile;
    Resources resources;
    std::string payload;
    std::string checkpoint;
};

// What a worker knows of a task. LeaseExpired means that its lease ran out and the worker ended it.
enum class WorkerTaskState {
    Running,
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    // The worker has no memory of the attempt.
    Absent,
};

[[nodiscard]] std::string_view nameOf(WorkerTaskState state);
[[nodiscard]] WorkerTaskState workerTaskStateFromName(std::string_view name);

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

// Renews the leases of all tasks of a worker at once and names the ended tasks that the owner has recorded.
// The leases run from the moment at which the worker sent the report that the heartbeat echoes,
// so that a heartbeat which was delayed on its way can't extend them past what its sender expects.
struct Heartbeat
{
    std::string owner;
    FencingToken token = 0;
    std::int64_t leaseMilliseconds = 0;
    std::uint64_t echoedSequence = 0;
    // The version of the task list that the owner has dealt with; the worker leaves an unchanged list out.
    std::string knownTasksVersion;
    std::vector<TaskAttempt> recordedEnds;
};

// A worker's answer to a heartbeat.
struct WorkerReport
{
    std::uint64_t sequence = 0;
    // Changes when the worker begins anew and has forgotten its tasks.
    std::string incarnation;
    Resources capacity;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::int64_t busySlots = 0;
    bool leaving = false;
    std::string tasksVersion;
    // The task list is the one that the heartbeat named, and is left out.
    bool tasksUnchanged = false;
    std::vector<TaskReport> tasks;
};

struct StopAnswer
{
    WorkerTaskState state = WorkerTaskState::Stopped;
    std::string incarnation;
    std::string checkpoint;
    std::string result;
};

// One attempt of a request at a worker. The timeout is given in milliseconds.
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

// What became of one attempt. The status and body are the worker's when the outcome is Done.
struct RequestResult
{
    Outcome outcome = Outcome::NotRun;
    int status = 0;
    std::string contentType;
    std::string body;
    Error error;
};

}
