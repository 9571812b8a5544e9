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

// A worker as the platform's list of live workers shows it.
struct WorkerListing
{
    std::string name;
    std::string address;
    std::string pool;
    std::string dataCentre;
    std::string rack;
    std::set<std::string> labels;
    Resources capacity;
    // Grows when the worker starts anew under the same name: the wall time of its start in milliseconds.
    std::int64_t incarnation = 0;
    bool draining = false;

    bool operator==(const WorkerListing &) const = default;
};

// Where an order goes and with which authority.
struct OrderTarget
{
    std::string worker;
    std::string address;
    FencingToken token = 0;
};

// One numbered start of a task. Numbers rise with each start of the same task.
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
    // The advisor's permission, where the queue needs one.
    std::string ticket;
    // On the worker's clock, in milliseconds: the worker neither starts nor runs the task past this time.
    std::int64_t leaseUntil = 0;
};

enum class OrderOutcome {
    Accepted,
    // The worker has seen a higher fencing token.
    Fenced,
    // A run with this or a higher number has ended or was stopped there.
    Superseded,
    // The lease had run out when the order arrived.
    Expired,
    NoRoom,
    // The worker is unhealthy and has done nothing.
    Unhealthy,
    // Another incarnation of the worker answered.
    OtherIncarnation,
    // The placement advisor's ticket is missing or no longer valid.
    TicketRefused,
    Malformed,
    // No answer: the order may have been carried out, or may still be.
    Unknown,
};

[[nodiscard]] std::string_view nameOf(OrderOutcome outcome);

struct OrderAnswer
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    // The worker's clock when it answered.
    std::optional<std::int64_t> workerClock;
};

// Asks a worker to list its runs and extends the lease of all of them.
struct ReportRequest
{
    std::optional<std::int64_t> leaseUntil;
    // Ends up to this number are recorded and may be forgotten.
    std::uint64_t recordedEnd = 0;
    // How long the worker may wait for an end before it answers.
    Milliseconds wait {0};
};

struct RunningTask
{
    RunName run;
    std::string checkpoint;
    int percent = 0;
    // Of a serving task the tail latency in milliseconds, of any other the processors in use in thousandths of a core.
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

struct EndedTask
{
    std::uint64_t number = 0;
    RunName run;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint;
};

struct RunReport
{
    std::int64_t workerClock = 0;
    std::int64_t incarnation = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    // Whether ends were left out because the list was full.
    bool truncated = false;
};

// Carries orders to workers. Each handler is called exactly once, on the control thread.
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

    // Lets a run work at a share of its speed, in percent.
    virtual void throttle(const OrderTarget &target, const RunName &run, int percent, AnswerHandler handler) = 0;
    virtual void report(const OrderTarget &target, const ReportRequest &request, ReportHandler handler) = 0;
};

}
