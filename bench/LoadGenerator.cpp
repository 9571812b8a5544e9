#include "LoadGenerator.h"

namespace Wagtail
{

LoadGenerator::LoadGenerator(LoadPlan plan)
    : m_plan(std::move(plan)), m_client(m_context, m_plan.concurrency), m_timer(m_context)
{
}

LoadResult LoadGenerator::run()
{
    m_startedAt = Clock::now();
    if (m_plan.rate > 0) {
        pace();
    } else {
        for (int i = 0; i < m_plan.concurrency; ++i) {
            sendNext();
        }
    }
    m_context.run();
    m_result.seconds = std::chrono::duration<double>(Clock::now() - m_startedAt).count();
    return std::move(m_result);
}

void LoadGenerator::pace()
{
    const double elapsed = std::chrono::duration<double>(Clock::now() - m_startedAt).count();
    const int due = std::min(m_plan.count, static_cast<int>(elapsed * m_plan.rate) + 1);
    while (m_sent < due && m_open < m_plan.concurrency) {
        sendNext();
    }
    if (m_sent >= m_plan.count) {
        return;
    }
    m_timer.expires_after(std::chrono::microseconds(200));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            pace();
        }
    });
}

void LoadGenerator::sendNext()
{
    if (m_sent >= m_plan.count) {
        return;
    }
    ++m_sent;
    ++m_open;
    const Clock::time_point sentAt = Clock::now();
    m_client.send(m_plan.call, [this, sentAt](const HttpAnswer &answer) {
        constexpr int StatusOk = 200;
        --m_open;
        const bool good = answer.delivery == Delivery::Answered && answer.status == StatusOk;
        m_result.failures += good ? 0 : 1;
        m_result.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - sentAt).count());
        if (m_plan.rate == 0) {
            sendNext();
        } else if (m_sent >= m_plan.count && m_open == 0) {
            m_context.stop();
        }
    });
    if (m_plan.rate == 0 && m_sent >= m_plan.count) {
        stopWhenQuiet();
    }
}

void LoadGenerator::stopWhenQuiet()
{
    m_timer.expires_after(std::chrono::milliseconds(1));
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        if (m_open == 0) {
            m_context.stop();
            return;
        }
        stopWhenQuiet();
    });
}

}
