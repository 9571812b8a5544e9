#pragma once

#include "base/Scheduler.h"
#include "testing/ManualClock.h"

#include <deque>
#include <map>

namespace Wagtail
{

// Runs what was scheduled when a test advances the clock.
class ManualScheduler final : public Scheduler
{
public:
    explicit ManualScheduler(ManualClock &clock) : m_clock(clock)
    {
    }

    void post(std::function<void()> action) override
    {
        m_posted.push_back(std::move(action));
    }

    void after(Milliseconds delay, std::function<void()> action) override
    {
        m_later.emplace(m_clock.now() + delay, std::move(action));
    }

    // Runs everything that is due now, and what that schedules for now.
    void runDue()
    {
        while (true) {
            if (!m_posted.empty()) {
                const auto action = std::move(m_posted.front());
                m_posted.pop_front();
                action();
                continue;
            }
            const auto first = m_later.begin();
            if (first == m_later.end() || first->first > m_clock.now()) {
                return;
            }
            const auto action = std::move(first->second);
            m_later.erase(first);
            action();
        }
    }

    // Moves the clock in steps and runs what becomes due.
    void advance(Milliseconds duration, Milliseconds step = Milliseconds(50))
    {
        for (Milliseconds passed {0}; passed < duration; passed += step) {
            m_clock.advance(step);
            runDue();
        }
    }

private:
    ManualClock &m_clock;
    std::deque<std::function<void()>> m_posted;
    std::multimap<Instant, std::function<void()>> m_later;
};

}
