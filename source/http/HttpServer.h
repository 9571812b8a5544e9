#pragma once

#include "base/Error.h"
#include "http/HttpMessages.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Wagtail
{

// Where a server listens and how much it takes in. The body limit is given in bytes.
struct HttpServerOptions
{
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t bodyLimit = 1U << 20U;
};

// An HTTP/1.1 server on one Asio context that a single thread runs.
class HttpServer
{
public:
    // Sends the response; may be called from any thread, once.
    using Responder = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Responder)>;

    // Opens the server. Fails with Unavailable when the address can't be bound.
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>> create(
        asio::io_context &context, HttpServerOptions options, Handler handler);

    virtual ~HttpServer() = default;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Closes the listening socket and all connections.
    virtual void close() = 0;

protected:
    HttpServer() = default;
};

}
