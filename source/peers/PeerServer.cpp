#include "peers/PeerServer.h"

namespace Wagtail
{

Result<std::unique_ptr<PeerServer>> PeerServer::create(
    asio::io_context &context, const std::string &address, std::uint16_t port, PeerHandler handler)
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
        asio::ip::tcp::acceptor acceptor(context, endpoint, true);
        std::unique_ptr<PeerServer> server(new PeerServer(std::move(acceptor), std::move(handler)));
        server->accept();
        return server;
    } catch (const std::exception &failure) {
        return Error {ErrorKind::Unavailable,
            "cannot listen on " + address + ":" + std::to_string(port) + ": " + failure.what(),
            "choose a free port and an address of this machine"};
    }
}

PeerServer::PeerServer(asio::ip::tcp::acceptor acceptor, PeerHandler handler)
    : m_acceptor(std::move(acceptor)), m_handler(std::move(handler))
{
}

void PeerServer::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
            auto connection
                = std::make_shared<Http2Connection>(std::move(socket), Http2Connection::Role::Server, m_handler);
            m_connections.push_back(connection);
            connection->start();
        }
        accept();
    });
}

void PeerServer::close()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->close();
        }
    }
}

}
