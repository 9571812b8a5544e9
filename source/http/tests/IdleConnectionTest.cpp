#include "http/CurlHttpClient.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <list>

namespace Wagtail
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds LongestIdleTime {1};

// A server on the loopback interface that counts its open connections and answers each call after a short time.
class CountingServer
{
public:
    explicit CountingServer(asio::io_context &context)
        : m_context(context), m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        accept();
    }

    [[nodiscard]] std::string baseAddress() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int openConnections = 0;

private:
    struct Connection
    {
        explicit Connection(asio::io_context &context) : socket(context), timer(context)
        {
        }

        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string input;
        std::string output = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto connection = std::make_shared<Connection>(m_context);
            connection->socket = std::move(socket);
            ++openConnections;
            serve(connection);
            accept();
        });
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, connection](const asio::error_code &error, std::size_t) {
                if (error) {
                    --openConnections;
                    return;
                }
                connection->input.clear();
                connection->timer.expires_after(milliseconds(50));
                connection->timer.async_wait([this, connection](const asio::error_code &) { answer(connection); });
            });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        asio::async_write(connection->socket, asio::buffer(connection->output),
            [this, connection](const asio::error_code &error, std::size_t) {
                if (!error) {
                    serve(connection);
                }
            });
    }

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

class IdleConnectionTest : public testing::Test
{
protected:
    // Sends so many calls at once and waits for their answers.
    void callTimes(CurlHttpClient &client, int count)
    {
        int open = count;
        for (int i = 0; i < count; ++i) {
            HttpCall call;
            call.method = "GET";
            call.url = m_server.baseAddress() + "/";
            client.send(std::move(call), [&open](const HttpAnswer &answer) {
                EXPECT_EQ(answer.delivery, Delivery::Answered);
                --open;
            });
        }
        while (open > 0) {
            run(milliseconds(10));
        }
    }

    void run(milliseconds duration)
    {
        m_context.run_for(duration);
        m_context.restart();
    }

    asio::io_context m_context {1};
    CountingServer m_server {m_context};
};

}

// The connections of a burst stayed open for good and were lost to the worker when the instance lost power.
TEST_F(IdleConnectionTest, closesThoseThatABurstLeft)
{
    CurlHttpClient client(m_context, 4, {}, LongestIdleTime);
    callTimes(client, 4);
    EXPECT_EQ(m_server.openConnections, 4);
    for (int i = 0; i < 40; ++i) {
        callTimes(client, 1);
        run(milliseconds(50));
    }
    EXPECT_EQ(m_server.openConnections, 1);
}

// An instance that owns no partition any more calls no worker.
TEST_F(IdleConnectionTest, closesAllIfThereAreNoCalls)
{
    CurlHttpClient client(m_context, 4, {}, LongestIdleTime);
    callTimes(client, 3);
    EXPECT_EQ(m_server.openConnections, 3);
    run(LongestIdleTime + milliseconds(500));
    EXPECT_EQ(m_server.openConnections, 0);
    callTimes(client, 2);
    EXPECT_EQ(m_server.openConnections, 2);
}

TEST_F(IdleConnectionTest, keepsThemWithoutALongestIdleTime)
{
    CurlHttpClient client(m_context, 4);
    callTimes(client, 3);
    run(LongestIdleTime + milliseconds(500));
    EXPECT_EQ(m_server.openConnections, 3);
}

}
