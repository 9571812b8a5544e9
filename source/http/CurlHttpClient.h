#pragma once

#include "http/HttpClient.h"

#include <asio/io_context.hpp>
#include <memory>

namespace Wagtail
{

// Drives libcurl's multi interface from an Asio context. All calls must come from that context's thread.
class CurlHttpClient final : public HttpClient
{
public:
    // Told of each call that libcurl puts on the wire again by itself.
    using RepeatObserver = std::function<void(const HttpCall &call)>;

    // Keeps at most the given number of connections to one host and port.
    CurlHttpClient(asio::io_context &context, long connectionsPerHost, RepeatObserver onRepeat = {});
    ~CurlHttpClient() override;

    void send(HttpCall call, Handler handler) override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
