#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <list>
#include <string>
#include <vector>

namespace Wagtail
{

// A server on the loopback interface whose connections break. It answers the calls that it receives in turn as told.
class ResettingHttpServer
{
public:
    enum class Reaction {
        Answer,
        // Answers with 503, as a worker does that has carried out nothing.
        Refuse,
        // Resets the connection after the whole call has arrived.
        Reset,
        // Answers and then closes the connection.
        AnswerAndClose,
        // Sends the beginning of an answer, which ends within its head, and closes the connection.
        AnswerWithinHead,
        // The same within the body, with a stated length and with chunks.
        AnswerWithinBody,
        AnswerWithinChunk,
    };

    // Calls beyond the given ones are refused.
    ResettingHttpServer(asio::io_context &context, std::vector<Reaction> reactions)
        : m_reactions(std::move(reactions)), m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    [[nodiscard]] std::string baseAddress() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    // Returns how many whole calls have arrived.
    [[nodiscard]] std::size_t receivedCalls() const
    {
        return m_receivedCalls;
    }

    [[nodiscard]] std::size_t acceptedConnections() const
    {
        return m_connections.size();
    }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted))
        {
        }

        asio::ip::tcp::socket socket;
        std::string input;
        std::string output;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                read(m_connections.emplace_back(std::move(socket)));
                accept();
            }
        });
    }

    void read(Connection &connection)
    {
        asio::async_read_until(connection.socket, asio::dynamic_buffer(connection.input), "\r\n\r\n",
            [this, &connection](const asio::error_code &error, std::size_t size) {
                if (!error) {
                    connection.input.erase(0, size);
                    react(connection);
                }
            });
    }

    // The calls of the tests have no body.
    void react(Connection &connection)
    {
        const Reaction reaction
            = m_receivedCalls < m_reactions.size() ? m_reactions[m_receivedCalls] : Reaction::Refuse;
        ++m_receivedCalls;
        if (reaction == Reaction::Reset) {
            connection.socket.set_option(asio::socket_base::linger(true, 0));
            connection.socket.close();
            return;
        }
        connection.output = answerFor(reaction);
        asio::async_write(connection.socket, asio::buffer(connection.output),
            [this, &connection, reaction](const asio::error_code &error, std::size_t) {
                if (!error && reaction != Reaction::Answer && reaction != Reaction::Refuse) {
                    connection.socket.close();
                } else if (!error) {
                    read(connection);
                }
            });
    }

    static std::string answerFor(Reaction reaction)
    {
        const std::string begin = "HTTP/1.1 200 OK\r\n";
        switch (reaction) {
        case Reaction::Refuse:
            return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        case Reaction::AnswerWithinHead:
            return begin + "Content-Type: application/json\r\nContent-Le";
        case Reaction::AnswerWithinBody:
            return begin + "Content-Length: 12\r\n\r\n{\"Run\"";
        case Reaction::AnswerWithinChunk:
            return begin + "Transfer-Encoding: chunked\r\n\r\nc\r\n{\"Run\":true}\r\n";
        default:
            return begin + "Content-Length: 0\r\n\r\n";
        }
    }

    std::vector<Reaction> m_reactions;
    asio::ip::tcp::acceptor m_acceptor;
    std::list<Connection> m_connections;
    std::size_t m_receivedCalls = 0;
};

}
