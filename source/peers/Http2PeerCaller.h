#pragma once

#include "peers/Http2Connection.h"

#include <asio/io_context.hpp>
#include <deque>
#include <map>

namespace Wagtail
{

// Keeps one connection to each daemon and reuses it. May be called from any thread;
// handlers run on the thread of the context.
class Http2PeerCaller final : public PeerCaller
{
public:
    explicit Http2PeerCaller(asio::io_context &context);

    void call(const std::string &address, PeerMessage message, Milliseconds timeout, Handler handler) override;

private:
    struct WaitingCall
    {
        PeerMessage message;
        Instant deadline;
        Handler handler;
    };

    struct Peer
    {
        std::shared_ptr<Http2Connection> connection;
        std::deque<WaitingCall> waiting;
        bool connecting = false;
        std::uint64_t connectAttempt = 0;
    };

    void callHere(const std::string &address, WaitingCall call);
    void connect(const std::string &address);
    void finishConnect(const std::string &address, std::shared_ptr<asio::ip::tcp::socket> socket, std::uint64_t attempt,
        const asio::error_code &error);

    asio::io_context &m_context;
    std::map<std::string, Peer> m_peers;
};

}
