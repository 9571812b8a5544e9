#pragma once

#include "http/HttpMessages.h"

#include <functional>

namespace Wagtail
{

// Sends HTTP calls without blocking. Answers arrive on the client's own thread.
class HttpClient
{
public:
    using Handler = std::function<void(HttpAnswer)>;

    HttpClient() = default;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    virtual ~HttpClient() = default;

    // Sends the call and passes its answer on exactly once. A failure is told in the answer's delivery. Only reads and
    // other idempotent calls may be sent again by the client itself.
    virtual void send(HttpCall call, Handler handler) = 0;
};

}
