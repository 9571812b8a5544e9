#pragma once

#include "peers/Http2Connection.h"

#include <asio/io_context.hpp>
#include <memory>
#include <vector>

namespace Wagtail
{

// Accepts the connections of other daemons.
class PeerServer
{
public:
    // Opens the server on ip:port. Fails with Unavailable when the address can't be bound.
    [[nodiscard]] static Result<std::unique_ptr<PeerServer>> create(
        asio::io_context &context, const std::string &address, std::uint16_t port, PeerHandler handler);

    void close();

private:
    PeerServer(asio::ip::tcp::acceptor acceptor, PeerHandler handler);
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    PeerHandler m_handler;
    std::vector<std::weak_ptr<Http2Connection>> m_connections;
};

}
