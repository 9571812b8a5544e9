#pragma once

#include "http/HttpClient.h"

#include <asio/io_context.hpp>
#include <memory>

namespace Wagtail
{

// Drives libcurl's multi interface from an Asio context. All calls must come from that context's thread.
//
// libcurl sends a call again when a reused connection ends before the answer begins. Only reads and other idempotent
// calls are repeated in this way; any other call is lost then, since the answer to a copy says nothing about the call
// itself.
class CurlHttpClient final : public HttpClient
{
public:
    // What became of the copy of a call that libcurl was about to send by itself.
    enum class Repetition {
        Sent,
        Prevented,
    };
    using RepeatObserver = std::function<void(const HttpCall &call, Repetition repetition)>;

    // Keeps at most the given number of connections to one host and port. If there is a longest idle time, connections
    // that were not used for so long are closed at the next call or, if all are idle, without one.
    CurlHttpClient(asio::io_context &context, long connectionsPerHost, RepeatObserver onRepeat = {},
        std::optional<std::chrono::seconds> longestIdleTime = {});
    ~CurlHttpClient() override;

    void send(HttpCall call, Handler handler) override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
