#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>

namespace Wagtail
{

// A server on the loopback interface that answers a single call, with a body that it sends in parts.
class SlowHttpServer
{
public:
    struct Answer
    {
        // The whole body, of which as many parts are sent as given.
        std::string body;
        std::size_t partBytes = 1;
        std::size_t sentParts = 0;
        // The pauses before the first part and between the parts.
        std::chrono::milliseconds delay {0};
        std::chrono::milliseconds interval {0};
    };

    SlowHttpServer(asio::io_context &context, Answer answer)
        : m_answer(std::move(answer))
        , m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
        , m_socket(context)
        , m_timer(context)
    {
        m_acceptor.async_accept(m_socket, [this](const asio::error_code &error) {
            if (!error) {
                readRequest();
            }
        });
    }

    [[nodiscard]] std::string baseAddress() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void readRequest()
    {
        asio::async_read_until(
            m_socket, asio::dynamic_buffer(m_request), "\r\n\r\n", [this](const asio::error_code &error, std::size_t) {
                if (!error && m_answer.sentParts > 0) {
                    m_output
                        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(m_answer.body.size()) + "\r\n\r\n";
                    sendPartAfter(m_answer.delay);
                }
            });
    }

    void sendPartAfter(std::chrono::milliseconds delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([this](const asio::error_code &error) {
            if (error || m_part * m_answer.partBytes >= m_answer.body.size()) {
                return;
            }
            m_output += m_answer.body.substr(m_part * m_answer.partBytes, m_answer.partBytes);
            ++m_part;
            asio::async_write(m_socket, asio::buffer(m_output), [this](const asio::error_code &failure, std::size_t) {
                m_output.clear();
                if (!failure && m_part < m_answer.sentParts) {
                    sendPartAfter(m_answer.interval);
                }
            });
        });
    }

    Answer m_answer;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::size_t m_part = 0;
    std::string m_request;
    std::string m_output;
};

}
