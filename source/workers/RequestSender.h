#pragma once

#include "workers/WorkerMessages.h"

#include <functional>

namespace Wagtail
{

// Sends attempts of requests to workers. The handler of each attempt is called exactly once, on the traffic thread.
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
