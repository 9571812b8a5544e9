#pragma once

#include <chrono>
#include <cstdint>

namespace Wagtail
{

using Milliseconds = std::chrono::milliseconds;
using Instant = std::chrono::steady_clock::time_point;

// Source of time. Deadlines use the monotonic reading; only the time line shows wall time.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    // Returns the monotonic reading, unaffected by changes of the wall clock.
    [[nodiscard]] virtual Instant now() const = 0;

    // Returns milliseconds since the Unix epoch, for people to read.
    [[nodiscard]] virtual std::int64_t wallMilliseconds() const = 0;
};

}
