#pragma once

#include "StandinStore.h"
#include "http/HttpServer.h"

#include <asio/steady_timer.hpp>
#include <random>

namespace Wagtail
{

// Serves a stand-in store in the platform's published protocol. Values are kept as the base64 text in which they come.
class PlatformStoreApi
{
public:
    // What the store does to calls. Shares are from 0 to 1.
    struct Faults
    {
        // Answers nothing. Leases expire meanwhile, or last as much longer.
        bool silent = false;
        bool leasesExpire = true;
        Milliseconds delay {0};
        double loseAnswers = 0.0;
        double refuse = 0.0;
        // The share of the writes that arrive at a silent store and are carried out after it is back.
        double carryOutLate = 0.0;
    };

    struct Limits
    {
        double writesPerSecond = 400.0;
        double readsPerSecond = 2'000.0;
    };

    PlatformStoreApi(asio::io_context &context, const Clock &clock, Limits limits, std::uint64_t seed);

    void handle(const HttpRequest &request, const HttpServer::Responder &respond);

    // Lets leases and waits end. Call it often.
    void advance();

    void setFaults(const Faults &faults);
    [[nodiscard]] bool isReachable() const;
    // Drops all changes that watches have not read yet.
    void dropHistory();

    // The state that other parts of the platform, such as the workers' registration, read and write.
    [[nodiscard]] StandinStore &store();

private:
    void delayOrServe(const HttpRequest &request, const HttpServer::Responder &respond);
    void serve(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveKey(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveRange(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveWatch(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveTransaction(const HttpRequest &request, const HttpServer::Responder &respond);
    void serveLease(const HttpRequest &request, const HttpServer::Responder &respond);
    void after(Milliseconds delay, std::function<void()> action);
    // Counts the call and returns whether it is within the limits of this second.
    [[nodiscard]] bool isWithinLimits(const HttpRequest &request);
    [[nodiscard]] bool happens(double share);

    asio::io_context &m_context;
    const Clock &m_clock;
    StandinStore m_store;
    Limits m_limits;
    std::mt19937_64 m_random;
    Faults m_faults;
    Instant m_lastAdvance;
    Instant m_secondBegan;
    double m_writes = 0.0;
    double m_reads = 0.0;
    // Writes that arrived while the store was silent.
    std::vector<HttpRequest> m_delayedWrites;
};

}
