#pragma once

#include "base/Clock.h"
#include "base/Resources.h"
#include "scheduling/TaskName.h"
#include "workers/WorkerMessages.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Wagtail
{

// A worker as listed by the platform.
struct WorkerListing
{
    std::string name;
    std::string address;
    std::string pool;
    std::string dataCentre;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    // Wall time of the worker's start in milliseconds. It grows when the worker restarts under the same name.
    std::int64_t incarnation = 0;
    bool draining = false;
    // Whether operators keep new tasks away from the worker's data centre. Those that run there go on.
    bool closed = false;

    [[nodiscard]] bool takesNewTasks() const
    {
        return !draining && !closed;
    }

    bool operator==(const WorkerListing &) const = default;
};

// The worker that an order is sent to, and the fencing token that the order carries.
struct OrderTarget
{
    std::string worker;
    std::string address;
    FencingToken token = 0;
};

// Identifies one run of a task. Each start of the same task gets a higher run number.
struct RunName
{
    TaskName task;
    std::uint64_t run = 0;

    auto operator<=>(const RunName &) const = default;
};

struct StartOrder
{
    RunName run;
    std::string payload;
    std::string checkpoint;
    // The placement advisor's permission, if the queue needs one.
    std::string ticket;
    // Lease expiry on the worker's clock, in milliseconds. The worker neither starts nor runs the task past this time.
    std::int64_t leaseUntil = 0;
};

enum class OrderOutcome {
    Accepted,
    // The worker has seen a higher fencing token.
    Fenced,
    // A run with this or a higher number has ended on the worker or was stopped there.
    Superseded,
    // The lease had expired when the order arrived.
    Expired,
    NoRoom,
    // The worker is unhealthy and did not carry out the order.
    Unhealthy,
    // Another incarnation of the worker answered.
    OtherIncarnation,
    // The placement advisor's ticket is missing or no longer valid.
    TicketRefused,
    Malformed,
    // There was no answer. The order may have been carried out, or may still be.
    Unknown,
};

[[nodiscard]] std::string_view nameOf(OrderOutcome outcome);

struct OrderAnswer
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    // The reading of the worker's clock when it answered.
    std::optional<std::int64_t> workerClock;
};

// Asks a worker to list its runs, and renews the leases of all of them.
struct ReportRequest
{
    // Lease expiry on the worker's clock. Leases are not renewed if it is missing.
    std::optional<std::int64_t> leaseUntil;
    // Run ends up to this number are recorded, and the worker may remove them from its list.
    std::uint64_t recordedEnd = 0;
    // How long the worker may wait for a run to end before it answers.
    Milliseconds wait {0};
};

// A run that a worker lists as running.
struct RunningTask
{
    RunName run;
    std::string checkpoint;
    int percent = 0;
    // For serving tasks the tail latency in milliseconds, for others the processors in use in thousandths of a core.
    std::int64_t usage = 0;
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    // Another member of the gang ended.
    GangBroken,
    // The other members of the gang did not arrive in time.
    GangIncomplete,
};

[[nodiscard]] std::string_view nameOf(RunEnd end);

// The end of a run, which a worker lists until it is acknowledged.
struct EndedTask
{
    // Rises with each run that ends on this worker.
    std::uint64_t number = 0;
    RunName run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

// A worker's answer to a ReportRequest.
struct RunReport
{
    std::int64_t workerClock = 0;
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    // Whether run ends are missing because the list was full.
    bool truncated = false;
};

// Sends orders to workers. Each handler is called exactly once, on the control thread.
class WorkerGateway
{
public:
    using AnswerHandler = std::function<void(OrderAnswer)>;
    using ReportHandler = std::function<void(std::variant<RunReport, OrderOutcome>)>;

    WorkerGateway() = default;
    WorkerGateway(const WorkerGateway &) = delete;
    WorkerGateway &operator=(const WorkerGateway &) = delete;
    virtual ~WorkerGateway() = default;

    virtual void start(const OrderTarget &target, const StartOrder &order, AnswerHandler handler) = 0;
    virtual void stop(const OrderTarget &target, const RunName &run, AnswerHandler handler) = 0;

    // Limits a run to a share of its full speed, in percent.
    virtual void throttle(const OrderTarget &target, const RunName &run, int percent, AnswerHandler handler) = 0;
    virtual void report(const OrderTarget &target, const ReportRequest &request, ReportHandler handler) = 0;
};

}
