#include "base/SystemClock.h"

#include <ctime>

namespace Wagtail
{

Instant SystemClock::now() const
{
    // The steady clock stands still while the machine is suspended, but leases run on.
    timespec reading {};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return Instant(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

std::int64_t SystemClock::wallMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

}
