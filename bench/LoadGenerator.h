#pragma once

#include "http/CurlHttpClient.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace Wagtail
{

// A bounded load: so many calls to one address, at most so many at a time, at a rate or as fast as they are answered.
struct LoadPlan
{
    HttpCall call;
    int concurrency = 1;
    int count = 1000;
    // Calls per second; zero sends the next call as soon as one is answered.
    double rate = 0;
};

struct LoadResult
{
    std::vector<double> milliseconds;
    int failures = 0;
    double seconds = 0;
};

// Sends a load from one thread and measures every answer.
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadPlan plan);

    [[nodiscard]] LoadResult run();

private:
    using Clock = std::chrono::steady_clock;

    void sendNext();
    void pace();
    void stopWhenQuiet();

    LoadPlan m_plan;
    asio::io_context m_context {1};
    CurlHttpClient m_client;
    asio::steady_timer m_timer;
    LoadResult m_result;
    Clock::time_point m_startedAt;
    int m_sent = 0;
    int m_open = 0;
};

}
