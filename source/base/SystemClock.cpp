#include "base/SystemClock.h"

namespace Wagtail
{

Instant SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

std::int64_t SystemClock::wallMilliseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

}
