#pragma once

#include "http/HttpClient.h"
#include "workers/RequestSender.h"

#include <asio/io_context.hpp>

namespace Wagtail
{

// Sends request attempts over HTTP on the traffic context and checks that each answer belongs to its attempt.
class HttpRequestSender final : public RequestSender
{
public:
    HttpRequestSender(asio::io_context &context, HttpClient &client);

    void send(RequestAttempt attempt, Handler handler) override;

    // Translates a worker's answer into an outcome.
    [[nodiscard]] static RequestResult interpret(const RequestAttempt &attempt, HttpAnswer answer);

private:
    asio::io_context &m_context;
    HttpClient &m_client;
};

}
