#pragma once

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <list>
#include <string>

namespace Wagtail
{

// A server that sends back what it receives, and a client that reaches it through a relay. Both run on one context,
// which the client drives while it waits.
class RelayedEcho
{
public:
    explicit RelayedEcho(asio::io_context &context)
        : m_context(context)
        , m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
        , m_relayPort(freePort(context))
        , m_client(context)
    {
        accept();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    // The port at which the client expects the relay.
    [[nodiscard]] std::uint16_t relayPort() const
    {
        return m_relayPort;
    }

    void connect()
    {
        m_client = asio::ip::tcp::socket(m_context);
        m_client.connect({asio::ip::address_v4::loopback(), m_relayPort});
    }

    // Sends a byte and returns the error that ends the wait for its return, or none if it comes back.
    asio::error_code exchange()
    {
        return exchangeWithin(LongestExchange);
    }

    // The same, with would_block if nothing happens within the time.
    asio::error_code exchangeWithin(std::chrono::milliseconds longest)
    {
        m_output = 'a';
        asio::async_write(m_client, asio::buffer(&m_output, 1), [](const asio::error_code &, std::size_t) {});
        return awaitEnd(longest);
    }

    // Returns how the connection ends within the time, would_block if it does not, or no error if a byte arrives.
    asio::error_code awaitEnd(std::chrono::milliseconds longest)
    {
        asio::error_code result = asio::error::would_block;
        asio::async_read(m_client, asio::buffer(&m_input, 1),
            [&result](const asio::error_code &error, std::size_t) { result = error; });
        const auto end = std::chrono::steady_clock::now() + longest;
        while (result == asio::error::would_block && std::chrono::steady_clock::now() < end) {
            m_context.run_one_until(end);
        }
        if (result != asio::error::would_block) {
            return result;
        }
        m_client.cancel();
        while (result == asio::error::would_block) {
            m_context.run_one();
        }
        return result == asio::error::operation_aborted ? asio::error::would_block : result;
    }

private:
    static constexpr std::chrono::seconds LongestExchange {5};

    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted))
        {
        }

        asio::ip::tcp::socket socket;
        char byte = 0;
    };

    static std::uint16_t freePort(asio::io_context &context)
    {
        const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        return acceptor.local_endpoint().port();
    }

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                echo(m_connections.emplace_back(std::move(socket)));
                accept();
            }
        });
    }

    void echo(Connection &connection)
    {
        asio::async_read(connection.socket, asio::buffer(&connection.byte, 1),
            [this, &connection](const asio::error_code &error, std::size_t) {
                if (!error) {
                    asio::async_write(connection.socket, asio::buffer(&connection.byte, 1),
                        [this, &connection](const asio::error_code &failure, std::size_t) {
                            if (!failure) {
                                echo(connection);
                            }
                        });
                }
            });
    }

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_relayPort;
    asio::ip::tcp::socket m_client;
    std::list<Connection> m_connections;
    char m_output = 0;
    char m_input = 0;
};

}
