#pragma once

#include "base/Clock.h"
#include "workers/WorkerMessages.h"

#include <functional>

namespace Wagtail
{

// Sends control messages to workers. Answers arrive on the control thread.
// StaleToken means that another owner fenced the worker; Overloaded that it refused before running;
// Unavailable that nothing was handed over; Internal that the effect is not known.
class WorkerControl
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;

    WorkerControl() = default;
    WorkerControl(const WorkerControl &) = delete;
    WorkerControl &operator=(const WorkerControl &) = delete;
    virtual ~WorkerControl() = default;

    virtual void heartbeat(const std::string &address, Heartbeat heartbeat, Handler<WorkerReport> handler) = 0;

    // Starts an attempt; the same attempt sent twice starts once.
    virtual void start(const std::string &address, FencingToken token, TaskStart start, Handler<std::monostate> handler)
        = 0;

    // Stops an attempt, with a checkpoint where the task can give one.
    virtual void stop(const std::string &address, FencingToken token, TaskAttempt attempt, Handler<StopAnswer> handler)
        = 0;

    // Limits an attempt to a percentage of its speed.
    virtual void throttle(const std::string &address, FencingToken token, TaskAttempt attempt, int percent,
        Handler<std::monostate> handler)
        = 0;
};

}
