#pragma once

#include "base/Clock.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace Wagtail
{

// Forwards connections from one port of the loopback interface to another one, with the faults of a network between.
class FaultyRelay
{
public:
    // The faults of all connections, including new ones. Bytes of a cut direction arrive when the cut is over.
    struct Faults
    {
        Milliseconds delay {0};
        // Each piece of data is held for up to so much longer.
        Milliseconds delaySpread {0};
        bool requestsCut = false;
        bool answersCut = false;
        // Of this share of the pieces of answers, from 0 to 1, only the beginning arrives before the connection is
        // closed or reset.
        double partialAnswers = 0.0;
        // All open connections are reset again and again, after random gaps within these bounds. No bound, no resets.
        Milliseconds leastResetGap {0};
        Milliseconds mostResetGap {0};
    };

    struct Counts
    {
        std::uint64_t accepted = 0;
        // Open connections that were reset.
        std::uint64_t reset = 0;
        // Answers that ended within their head and within their body.
        std::uint64_t cutHeads = 0;
        std::uint64_t cutBodies = 0;
        // Pieces of answers that arrived after the life of the target in which it gave them.
        std::uint64_t outdated = 0;
    };

    FaultyRelay(asio::io_context &context, std::uint16_t port, std::uint16_t targetPort);

    void setFaults(const Faults &faults);
    // Resets all open connections.
    void resetConnections();
    // Every n-th open connection delivers nothing more, without a reset.
    void silenceConnections(std::size_t every);
    // A life of the target ends. What is held of its answers still arrives.
    void noteRestart();
    [[nodiscard]] const Counts &counts() const;

private:
    class Connection;

    void accept();
    void resetAfterGap();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    Faults m_faults;
    Counts m_counts;
    std::uint64_t m_life = 0;
    std::mt19937_64 m_random;
    asio::steady_timer m_resetTimer;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

}
