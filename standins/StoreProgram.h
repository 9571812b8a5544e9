#pragma once

#include "StandinStore.h"
#include "http/HttpServer.h"

#include <asio/steady_timer.hpp>

namespace Wagtail
{

// Serves the stand-in store and the lagging instance list over HTTP, with switches for faults.
class StoreProgram
{
public:
    StoreProgram(asio::io_context &context, const Clock &clock);

    void handle(const HttpRequest &request, HttpServer::Responder respond);

private:
    // What the store does to calls: answers, delays, refuses, keeps silent, or loses answers after taking effect.
    struct Faults
    {
        std::string mode = "up";
        Milliseconds delay {0};
        std::int64_t loseAnswers = 0;
        bool expireWhileDown = false;
    };

    // A state of the instance list and the time from which readers see it.
    struct ListedState
    {
        Instant visibleFrom;
        Json instances;
    };

    void tick();
    void serve(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveKeys(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveLeases(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveTransaction(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveWatch(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveInstances(const HttpRequest &request, const HttpServer::Responder &respond);
    void changeFaults(const HttpRequest &request, const HttpServer::Responder &respond);
    [[nodiscard]] bool isDown() const;

    asio::io_context &m_context;
    const Clock &m_clock;
    StandinStore m_store;
    asio::steady_timer m_timer;
    Faults m_faults;
    std::deque<ListedState> m_listed;
    Milliseconds m_listLag {500};
    Instant m_lastTick;
    std::map<std::string, std::uint64_t> m_calls;
};

}
