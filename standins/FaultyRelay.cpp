#include "FaultyRelay.h"

#include "PartialAnswer.h"

#include <array>
#include <asio/write.hpp>

namespace Wagtail
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t BufferBytes = 16'384;
constexpr Milliseconds HoldPeriod {20};

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

}

class FaultyRelay::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(FaultyRelay &relay, tcp::socket client)
        : m_relay(relay)
        , m_requests(relay.m_context, std::move(client))
        , m_answers(relay.m_context, tcp::socket(relay.m_context))
    {
    }

    void open(const tcp::endpoint &target)
    {
        m_answers.source.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
            if (error) {
                self->close();
                return;
            }
            asio::error_code ignored;
            self->m_answers.source.set_option(tcp::no_delay(true), ignored);
            self->m_requests.source.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_requests);
            self->read(self->m_answers);
        });
    }

    void silence()
    {
        m_silent = true;
    }

    // Returns whether the connection was open.
    bool reset()
    {
        if (!m_requests.source.is_open()) {
            return false;
        }
        asio::error_code ignored;
        m_requests.source.set_option(asio::socket_base::linger(true, 0), ignored);
        m_answers.source.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
        return true;
    }

private:
    struct Direction
    {
        Direction(asio::io_context &context, tcp::socket socket) : source(std::move(socket)), timer(context)
        {
        }

        tcp::socket source;
        asio::steady_timer timer;
        std::array<char, BufferBytes> buffer {};
        // The target's life in which the data was read.
        std::uint64_t life = 0;
    };

    [[nodiscard]] bool isCut(const Direction &direction) const
    {
        return &direction == &m_requests ? m_relay.m_faults.requestsCut : m_relay.m_faults.answersCut;
    }

    [[nodiscard]] Milliseconds delay()
    {
        return m_relay.m_faults.delay
            + Milliseconds(
                std::uniform_int_distribution<std::int64_t>(0, m_relay.m_faults.delaySpread.count())(m_relay.m_random));
    }

    void read(Direction &direction)
    {
        direction.source.async_read_some(asio::buffer(direction.buffer),
            [self = shared_from_this(), &direction](const asio::error_code &error, std::size_t size) {
                if (error) {
                    self->close();
                } else if (self->m_silent) {
                    self->read(direction);
                } else {
                    direction.life = self->m_relay.m_life;
                    self->hold(direction, size, self->delay());
                }
            });
    }

    void hold(Direction &direction, std::size_t size, Milliseconds delay)
    {
        if (delay.count() == 0 && !isCut(direction)) {
            write(direction, size);
            return;
        }
        direction.timer.expires_after(std::max(delay, HoldPeriod));
        direction.timer.async_wait([self = shared_from_this(), &direction, size](const asio::error_code &error) {
            if (!error) {
                self->hold(direction, size, Milliseconds(0));
            }
        });
    }

    void write(Direction &direction, std::size_t size)
    {
        if (m_silent) {
            read(direction);
            return;
        }
        if (&direction == &m_answers) {
            m_relay.m_counts.outdated += direction.life < m_relay.m_life ? 1 : 0;
            if (std::uniform_real_distribution<double>(0.0, 1.0)(m_relay.m_random) < m_relay.m_faults.partialAnswers) {
                writePart(size);
                return;
            }
        }
        tcp::socket &sink = &direction == &m_requests ? m_answers.source : m_requests.source;
        asio::async_write(sink, asio::buffer(direction.buffer, size),
            [self = shared_from_this(), &direction](const asio::error_code &error, std::size_t) {
                if (error) {
                    self->close();
                } else {
                    self->read(direction);
                }
            });
    }

    void writePart(std::size_t size)
    {
        PartialAnswer part = cutAnswer({m_answers.buffer.data(), size}, m_relay.m_random);
        ++(part.endsWithinHead ? m_relay.m_counts.cutHeads : m_relay.m_counts.cutBodies);
        const auto text = std::make_shared<std::string>(std::move(part.text));
        asio::async_write(m_requests.source, asio::buffer(*text),
            [self = shared_from_this(), text](const asio::error_code &error, std::size_t) {
                if (error || std::bernoulli_distribution(0.5)(self->m_relay.m_random)) {
                    self->close();
                    return;
                }
                // A reset drops what the client has not read yet.
                self->m_answers.timer.expires_after(HoldPeriod);
                self->m_answers.timer.async_wait([self](const asio::error_code &) { self->reset(); });
            });
    }

    void close()
    {
        asio::error_code ignored;
        m_requests.source.close(ignored);
        m_answers.source.close(ignored);
        m_requests.timer.cancel();
        m_answers.timer.cancel();
    }

    FaultyRelay &m_relay;
    // The sources of both directions: the client and the target.
    Direction m_requests;
    Direction m_answers;
    bool m_silent = false;
};

FaultyRelay::FaultyRelay(asio::io_context &context, std::uint16_t port, std::uint16_t targetPort)
    : m_context(context)
    , m_acceptor(context, loopback(port))
    , m_target(loopback(targetPort))
    , m_random(port)
    , m_resetTimer(context)
{
    accept();
}

void FaultyRelay::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        ++m_counts.accepted;
        std::erase_if(m_connections, [](const auto &connection) { return connection.expired(); });
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.push_back(connection);
        connection->open(m_target);
        accept();
    });
}

void FaultyRelay::setFaults(const Faults &faults)
{
    m_faults = faults;
    resetAfterGap();
}

void FaultyRelay::resetAfterGap()
{
    m_resetTimer.cancel();
    if (m_faults.mostResetGap.count() == 0) {
        return;
    }
    m_resetTimer.expires_after(Milliseconds(std::uniform_int_distribution<std::int64_t>(
        m_faults.leastResetGap.count(), m_faults.mostResetGap.count())(m_random)));
    m_resetTimer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            resetConnections();
            resetAfterGap();
        }
    });
}

void FaultyRelay::resetConnections()
{
    for (const auto &known : m_connections) {
        const auto connection = known.lock();
        if (connection && connection->reset()) {
            ++m_counts.reset;
        }
    }
}

void FaultyRelay::noteRestart()
{
    ++m_life;
}

const FaultyRelay::Counts &FaultyRelay::counts() const
{
    return m_counts;
}

void FaultyRelay::silenceConnections(std::size_t every)
{
    std::size_t index = 0;
    for (const auto &known : m_connections) {
        const auto connection = known.lock();
        if (connection && index++ % every == 0) {
            connection->silence();
        }
    }
}

}
