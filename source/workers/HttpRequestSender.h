#pragma once

#include "http/HttpClient.h"
#include "workers/RequestSender.h"

#include <asio/io_context.hpp>

namespace Wagtail
{

// Sends request attempts to workers over HTTP, on the thread of the traffic context, and checks that each answer
// belongs to its attempt.
class HttpRequestSender final : public RequestSender
{
public:
    HttpRequestSender(asio::io_context &context, HttpClient &client);

    void send(RequestAttempt attempt, Handler handler) override;

    // Converts a worker's answer into the result of the attempt. The outcome is NotRun only if nothing was sent or the
    // worker refused the request, and Unknown if the answer was lost, is truncated or belongs to another attempt.
    [[nodiscard]] static RequestResult interpret(const RequestAttempt &attempt, HttpAnswer answer);

private:
    asio::io_context &m_context;
    HttpClient &m_client;
};

}
