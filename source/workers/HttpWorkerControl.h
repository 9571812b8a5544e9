#pragma once

#include "http/HttpClient.h"
#include "workers/WorkerControl.h"

namespace Wagtail
{

// Implements the worker protocol of docs/PLATFORM.md over HTTP. The timeout applies to each call.
class HttpWorkerControl final : public WorkerControl
{
public:
    HttpWorkerControl(HttpClient &client, Milliseconds timeout);

    void heartbeat(const std::string &address, Heartbeat heartbeat, Handler<WorkerReport> handler) override;
    void start(
        const std::string &address, FencingToken token, TaskStart start, Handler<std::monostate> handler) override;
    void stop(
        const std::string &address, FencingToken token, TaskAttempt attempt, Handler<StopAnswer> handler) override;
    void throttle(const std::string &address, FencingToken token, TaskAttempt attempt, int percent,
        Handler<std::monostate> handler) override;

private:
    [[nodiscard]] HttpCall createCall(const std::string &address, const std::string &target, std::string body) const;

    HttpClient &m_client;
    Milliseconds m_timeout;
};

}
