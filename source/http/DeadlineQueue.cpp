#include "http/DeadlineQueue.h"

namespace Wagtail
{

DeadlineQueue::DeadlineQueue(asio::io_context &context, DueHandler onDue) : m_timer(context), m_onDue(std::move(onDue))
{
}

DeadlineQueue::~DeadlineQueue()
{
    *m_alive = false;
}

void DeadlineQueue::add(Key key, Instant deadline)
{
    m_deadlines.emplace(deadline, key);
    arm();
}

void DeadlineQueue::remove(Key key, Instant deadline)
{
    m_deadlines.erase({deadline, key});
}

void DeadlineQueue::arm()
{
    if (m_deadlines.empty()) {
        return;
    }
    const Instant first = m_deadlines.begin()->first;
    if (m_armedFor && *m_armedFor <= first) {
        return;
    }
    m_armedFor = first;
    m_timer.expires_at(first);
    m_timer.async_wait([this, alive = m_alive](const asio::error_code &error) {
        if (*alive && !error) {
            onTimer();
        }
    });
}

void DeadlineQueue::onTimer()
{
    m_armedFor.reset();
    const Instant now = std::chrono::steady_clock::now();
    std::vector<Key> due;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        due.push_back(m_deadlines.begin()->second);
        m_deadlines.erase(m_deadlines.begin());
    }
    arm();
    if (!due.empty()) {
        // The handler may destroy the queue.
        const DueHandler onDue = m_onDue;
        onDue(due);
    }
}

}
