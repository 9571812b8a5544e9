#include "peers/Http2PeerCaller.h"

#include <asio/post.hpp>
#include <charconv>

namespace Wagtail
{

namespace
{

constexpr Milliseconds ConnectTimeout {1000};
constexpr std::size_t MaximumWaiting = 1024;

Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const char *last = address.data() + address.size();
        const auto [end, failure] = std::from_chars(address.data() + colon + 1, last, port);
        port = failure == std::errc() && end == last ? port : 0;
    }
    if (error || port == 0) {
        return Error {ErrorKind::InvalidInput, "'" + address + "' is no address", "give ip:port"};
    }
    return asio::ip::tcp::endpoint(ip, port);
}

}

Http2PeerCaller::Http2PeerCaller(asio::io_context &context) : m_context(context)
{
}

void Http2PeerCaller::call(const std::string &address, PeerMessage message, Milliseconds timeout, Handler handler)
{
    WaitingCall call {std::move(message), std::chrono::steady_clock::now() + timeout, std::move(handler)};
    asio::post(m_context, [this, address, call = std::move(call)]() mutable { callHere(address, std::move(call)); });
}

void Http2PeerCaller::callHere(const std::string &address, WaitingCall call)
{
    Peer &peer = m_peers[address];
    if (peer.connection && peer.connection->isOpen()) {
        const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - std::chrono::steady_clock::now());
        peer.connection->call(std::move(call.message), std::max(left, Milliseconds(1)), std::move(call.handler));
        return;
    }
    if (peer.waiting.size() >= MaximumWaiting) {
        call.handler(Error {ErrorKind::Overloaded, "too many calls wait for a connection", "retry later"});
        return;
    }
    peer.waiting.push_back(std::move(call));
    if (!peer.connecting) {
        connect(address);
    }
}

void Http2PeerCaller::connect(const std::string &address)
{
    Peer &peer = m_peers[address];
    peer.connecting = true;
    const std::uint64_t attempt = ++peer.connectAttempt;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    const Result<asio::ip::tcp::endpoint> endpoint = parseEndpoint(address);
    if (errorOf(endpoint) != nullptr) {
        finishConnect(address, socket, attempt, asio::error::invalid_argument);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, ConnectTimeout);
    timer->async_wait([socket](const asio::error_code &error) {
        if (!error) {
            asio::error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(std::get<asio::ip::tcp::endpoint>(endpoint),
        [this, address, socket, attempt, timer](const asio::error_code &error) {
            timer->cancel();
            finishConnect(address, socket, attempt, error);
        });
}

void Http2PeerCaller::finishConnect(const std::string &address, std::shared_ptr<asio::ip::tcp::socket> socket,
    std::uint64_t attempt, const asio::error_code &error)
{
    Peer &peer = m_peers[address];
    if (attempt != peer.connectAttempt) {
        return;
    }
    peer.connecting = false;
    std::deque<WaitingCall> waiting;
    waiting.swap(peer.waiting);
    if (error) {
        for (const WaitingCall &call : waiting) {
            call.handler(Error {ErrorKind::Unavailable, "can't connect to " + address + ": " + error.message(),
                "retry another daemon"});
        }
        return;
    }
    peer.connection
        = std::make_shared<Http2Connection>(std::move(*socket), Http2Connection::Role::Client, PeerHandler());
    peer.connection->start();
    for (WaitingCall &call : waiting) {
        callHere(address, std::move(call));
    }
}

}
