#include "http/CurlHttpClient.h"
#include "testing/SlowHttpServer.h"

#include <algorithm>
#include <array>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <list>
#include <optional>
#include <thread>

namespace Wagtail
{

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds Timeout {400};
// How long the loop of the client is busy with other work.
constexpr milliseconds Delay = Timeout + milliseconds(200);
constexpr milliseconds PartInterval {100};
constexpr std::size_t PartBytes = 1'000;
// For turns of the loop and of the machine.
constexpr milliseconds Tolerance {300};

// Runs servers while the loop of the client is busy.
class ServerThread
{
public:
    ~ServerThread()
    {
        m_context.stop();
        m_thread.join();
    }

    // Runs an action on the thread and returns its value.
    template<typename Action> auto run(Action action)
    {
        std::promise<decltype(action())> result;
        asio::post(m_context, [&] { result.set_value(action()); });
        return result.get_future().get();
    }

    // Adds a server and returns its address.
    std::string add(SlowHttpServer::Answer answer)
    {
        return run([this, &answer] { return m_servers.emplace_back(m_context, std::move(answer)).baseAddress(); });
    }

    asio::io_context &context()
    {
        return m_context;
    }

private:
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard = asio::make_work_guard(m_context);
    std::list<SlowHttpServer> m_servers;
    std::thread m_thread {[this] {
        m_context.run();
    }};
};

// Accepts a connection, reads what comes and never answers.
class SilentServer
{
public:
    explicit SilentServer(ServerThread &thread)
        : m_thread(thread)
        , m_acceptor(thread.context(), {asio::ip::address_v4::loopback(), 0})
        , m_socket(thread.context())
    {
        m_thread.run([this] {
            m_acceptor.async_accept(m_socket, [this](const asio::error_code &error) {
                if (!error) {
                    read();
                }
            });
            return true;
        });
    }

    ~SilentServer()
    {
        m_thread.run([this] {
            m_acceptor.close();
            m_socket.close();
            return true;
        });
        // What was waiting has been called off by now.
        m_thread.run([] { return true; });
    }

    [[nodiscard]] std::string baseAddress() const
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    std::atomic<std::size_t> receivedBytes = 0;
    std::atomic<bool> isClosed = false;

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_input), [this](const asio::error_code &error, std::size_t size) {
            receivedBytes += size;
            if (error) {
                isClosed = true;
            } else {
                read();
            }
        });
    }

    ServerThread &m_thread;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_socket;
    std::array<char, PartBytes> m_input {};
};

class LateLoopTest : public testing::Test
{
protected:
    void send(const std::string &address, std::optional<LongAnswerLimits> limits = {})
    {
        HttpCall call;
        call.method = "POST";
        call.url = address + "/";
        call.timeoutMilliseconds = Timeout.count();
        call.longAnswer = limits;
        m_client.send(std::move(call), [this](HttpAnswer given) { answers.push_back(std::move(given)); });
    }

    void runLoopFor(milliseconds duration)
    {
        m_context.run_for(duration);
        m_context.restart();
    }

    // Runs only the next handler.
    void runOneHandler()
    {
        m_context.run_one();
    }

    // Lets the loop run again after it was busy, until there are as many answers, and returns how long that took.
    milliseconds runUntilAnswered(std::size_t count = 1)
    {
        const Clock::time_point begin = Clock::now();
        while (answers.size() < count && Clock::now() - begin < 10 * Timeout) {
            runLoopFor(milliseconds(5));
        }
        EXPECT_EQ(answers.size(), count);
        return std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
    }

    ServerThread servers;
    std::vector<HttpAnswer> answers;

private:
    asio::io_context m_context {1};
    CurlHttpClient m_client {m_context, 4};
};

}

// Guards against an owner that takes its own delay for faults of workers that have answered.
TEST_F(LateLoopTest, readsAnAnswerThatCameInTime)
{
    send(servers.add({"x", 1, 1, PartInterval}));
    runLoopFor(PartInterval / 2);
    std::this_thread::sleep_for(Delay);
    runUntilAnswered();
    EXPECT_EQ(answers.front().delivery, Delivery::Answered);
    EXPECT_EQ(answers.front().body, "x");
}

// Guards against timeouts of those answers that do not fit into one turn of the loop.
TEST_F(LateLoopTest, readsManyAnswersThatCameInTime)
{
    constexpr std::size_t Calls = 300;
    for (std::size_t i = 0; i < Calls; ++i) {
        send(servers.add({"x", 1, 1, 3 * PartInterval}));
    }
    runLoopFor(PartInterval);
    std::this_thread::sleep_for(Delay);
    runUntilAnswered(Calls);
    EXPECT_TRUE(std::all_of(answers.begin(), answers.end(),
        [](const HttpAnswer &answer) { return answer.delivery == Delivery::Answered; }));
}

// Guards against large answers that are cut after the first part that is read.
TEST_F(LateLoopTest, readsTheWholeOfAnAnswerThatCameInTime)
{
    constexpr std::size_t Bytes = 60'000;
    send(servers.add({std::string(Bytes, 'x'), Bytes, 1, PartInterval}));
    runLoopFor(PartInterval / 2);
    std::this_thread::sleep_for(Delay);
    runUntilAnswered();
    EXPECT_EQ(answers.front().delivery, Delivery::Answered);
    EXPECT_EQ(answers.front().body.size(), Bytes);
}

// Guards against connections that never get a call sent because each turn of the loop takes longer than the timeout.
TEST_F(LateLoopTest, sendsTheCallOnceItsConnectionIsThere)
{
    send(servers.add({"x", 1, 1}));
    runOneHandler();
    std::this_thread::sleep_for(Delay);
    runUntilAnswered();
    EXPECT_EQ(answers.front().delivery, Delivery::Answered);
}

// A worker may still carry out a call seconds after it was handed over, but not at any time.
TEST_F(LateLoopTest, sendsNoCallLongAfterItsTime)
{
    SilentServer server(servers);
    send(server.baseAddress());
    runOneHandler();
    std::this_thread::sleep_for(Timeout + milliseconds(1'200));
    EXPECT_LT(runUntilAnswered(), Tolerance);
    EXPECT_EQ(answers.front().delivery, Delivery::NotSent);
    EXPECT_EQ(server.receivedBytes, 0U);
}

// Guards against an owner that was away for seconds and takes an old answer for what is so now.
TEST_F(LateLoopTest, usesNoAnswerThatItReadsLongAfterItsTime)
{
    send(servers.add({"x", 1, 1, PartInterval}));
    runLoopFor(PartInterval / 2);
    std::this_thread::sleep_for(Timeout + milliseconds(1'200));
    EXPECT_LT(runUntilAnswered(), Tolerance);
    EXPECT_EQ(answers.front().delivery, Delivery::Lost);
}

// Guards against calls that hang because nothing arrives that would wake the loop.
TEST_F(LateLoopTest, givesUpACallWithoutAnswerInTime)
{
    SilentServer server(servers);
    send(server.baseAddress());
    const milliseconds elapsed = runUntilAnswered();
    EXPECT_EQ(answers.front().delivery, Delivery::Lost);
    EXPECT_GE(elapsed, Timeout);
    EXPECT_LT(elapsed, Timeout + Tolerance);
}

// An answer that comes on the connection later must not be taken for that of the next call.
TEST_F(LateLoopTest, closesTheConnectionOfACallThatWasGivenUp)
{
    SilentServer server(servers);
    send(server.baseAddress());
    runLoopFor(PartInterval);
    std::this_thread::sleep_for(Delay);
    EXPECT_LT(runUntilAnswered(), Tolerance);
    EXPECT_EQ(answers.front().delivery, Delivery::Lost);
    std::this_thread::sleep_for(PartInterval);
    EXPECT_TRUE(server.isClosed);
}

// Guards against an answer that keeps its call open for as long as it trickles in.
TEST_F(LateLoopTest, givesUpAnAnswerThatIsNotWholeInTime)
{
    constexpr std::size_t Parts = 40;
    send(servers.add({std::string(Parts * PartBytes, 'x'), PartBytes, Parts, milliseconds(0), PartInterval}));
    runLoopFor(PartInterval / 2);
    std::this_thread::sleep_for(Delay);
    EXPECT_LT(runUntilAnswered(), Timeout + Tolerance);
    EXPECT_EQ(answers.front().delivery, Delivery::Lost);
}

// Guards against long answers that count as stalled while nobody reads them.
TEST_F(LateLoopTest, takesNoAnswerForStalledThatItDidNotRead)
{
    constexpr std::size_t Parts = 12;
    send(servers.add({std::string(Parts * PartBytes, 'x'), PartBytes, Parts, milliseconds(0), PartInterval}),
        LongAnswerLimits {3 * PartInterval.count(), 10 * Timeout.count()});
    runLoopFor(PartInterval / 2);
    std::this_thread::sleep_for(Delay);
    runUntilAnswered();
    EXPECT_EQ(answers.front().delivery, Delivery::Answered);
    EXPECT_EQ(answers.front().body.size(), Parts * PartBytes);
}

}
