#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// A clock that moves only when a test says so.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override
    {
        return m_now;
    }

    [[nodiscard]] std::int64_t wallMilliseconds() const override
    {
        constexpr std::int64_t FirstDay = 1'796'000'000'000;
        return FirstDay + std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count();
    }

    void advance(Milliseconds duration)
    {
        m_now += duration;
    }

private:
    Instant m_now {Milliseconds(1'000'000)};
};

}
