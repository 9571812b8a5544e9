#pragma once

#include "workers/WorkerMessages.h"

#include <functional>

namespace Wagtail
{

// Sends one attempt of a request to a worker. The handler is called exactly once, on the traffic thread.
class RequestSender
{
public:
    using Handler = std::function<void(RequestResult)>;

    RequestSender() = default;
    RequestSender(const RequestSender &) = delete;
    RequestSender &operator=(const RequestSender &) = delete;
    virtual ~RequestSender() = default;

    virtual void send(RequestAttempt attempt, Handler handler) = 0;
};

}
