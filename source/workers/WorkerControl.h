#pragma once

#include "base/Clock.h"
#include "workers/WorkerMessages.h"

#include <functional>

namespace Wagtail
{

// Sends control messages to workers. Handlers are called on the control thread. Errors have these kinds:
// - StaleToken: another owner has fenced the worker with a higher token.
// - Overloaded: the worker refused the call before doing anything.
// - Unavailable: the call was not sent.
// - Internal: the effect of the call is unknown.
class WorkerControl
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;

    WorkerControl() = default;
    WorkerControl(const WorkerControl &) = delete;
    WorkerControl &operator=(const WorkerControl &) = delete;
    virtual ~WorkerControl() = default;

    // Renews the leases of the worker's tasks and returns its report.
    virtual void heartbeat(const std::string &address, Heartbeat heartbeat, Handler<WorkerReport> handler) = 0;

    // Starts an attempt. An attempt that is sent twice starts only once.
    virtual void start(const std::string &address, FencingToken token, TaskStart start, Handler<std::monostate> handler)
        = 0;

    // Stops an attempt. The answer has a checkpoint if the task supports checkpoints.
    virtual void stop(const std::string &address, FencingToken token, TaskAttempt attempt, Handler<StopAnswer> handler)
        = 0;

    // Limits an attempt to a percentage of its full speed.
    virtual void throttle(const std::string &address, FencingToken token, TaskAttempt attempt, int percent,
        Handler<std::monostate> handler)
        = 0;
};

}
