#include "http/HttpServer.h"

#include <restinio/all.hpp>

namespace Wagtail
{

namespace
{

struct Traits : public restinio::default_single_thread_traits_t
{
    using logger_t = restinio::null_logger_t;
};

using Server = restinio::http_server_t<Traits>;

constexpr std::uint64_t HardLimitFactor = 4;
constexpr std::size_t MaximumPipelined = 4;
constexpr auto IdleConnectionTimeout = std::chrono::minutes(5);
constexpr auto HandlerTimeout = std::chrono::hours(1);

HttpRequest readRequest(const restinio::request_handle_t &handle)
{
    HttpRequest request;
    const auto &header = handle->header();
    request.method = header.method().c_str();
    request.path = percentDecode({header.path().data(), header.path().size()});
    request.query = std::string(header.query().data(), header.query().size());
    request.headers.reserve(header.fields_count());
    header.for_each_field([&request](const auto &field) { request.headers.push_back({field.name(), field.value()}); });
    request.body = handle->body();
    return request;
}

void respond(const restinio::request_handle_t &handle, HttpResponse response)
{
    const auto status = restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
    auto builder = handle->create_response(restinio::http_status_line_t(status, "-"));
    for (HttpHeader &header : response.headers) {
        builder.append_header(std::move(header.name), std::move(header.value));
    }
    builder.set_body(std::move(response.body));
    if (response.connection == ConnectionFate::Close) {
        builder.connection_close();
    }
    builder.done();
}

HttpResponse oversize(std::uint64_t limit)
{
    HttpResponse response;
    response.status = 413;
    response.headers.push_back({"Content-Type", "application/problem+json"});
    response.body
        = R"({"type":"urn:wagtailbank:too-large","status":413,"outcome":"not-run","detail":"the body is over )"
        + std::to_string(limit) + R"( bytes","remedy":"send a smaller body, or raise limits.body_bytes"})";
    return response;
}

class RestinioServer final : public HttpServer
{
public:
    RestinioServer(asio::io_context &context, const HttpServerOptions &options, Handler handler)
        : m_server(restinio::external_io_context(context), settings(options, std::move(handler)))
    {
        m_server.open_sync();
    }

    void close() override
    {
        m_server.close_sync();
    }

private:
    static restinio::server_settings_t<Traits> settings(const HttpServerOptions &options, Handler handler)
    {
        restinio::server_settings_t<Traits> settings;
        const std::uint64_t limit = options.bodyLimit;
        settings.address(options.address)
            .port(options.port)
            .read_next_http_message_timelimit(IdleConnectionTimeout)
            .handle_request_timeout(HandlerTimeout)
            .max_pipelined_requests(MaximumPipelined)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}.max_body_size(limit * HardLimitFactor))
            .acceptor_options_setter(
                [](auto &acceptor) { acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true)); })
            .socket_options_setter([](auto &socket) { socket.set_option(asio::ip::tcp::no_delay(true)); })
            .request_handler([handler = std::move(handler), limit](const restinio::request_handle_t &handle) {
                if (handle->body().size() > limit) {
                    respond(handle, oversize(limit));
                    return restinio::request_accepted();
                }
                handler(readRequest(handle), [handle](HttpResponse response) { respond(handle, std::move(response)); });
                return restinio::request_accepted();
            });
        return settings;
    }

    Server m_server;
};

}

Result<std::unique_ptr<HttpServer>> HttpServer::create(
    asio::io_context &context, HttpServerOptions options, Handler handler)
{
    try {
        return std::make_unique<RestinioServer>(context, options, std::move(handler));
    } catch (const std::exception &failure) {
        return Error {ErrorKind::Unavailable,
            "cannot listen on " + options.address + ":" + std::to_string(options.port) + ": " + failure.what(),
            "choose a free port and an address of this machine"};
    }
}

}
