#include "scheduling/WorkerClock.h"

namespace Wagtail
{

namespace
{

// Allows for the rounding of readings to milliseconds.
constexpr Milliseconds RoundingMargin {20};

}

void WorkerClock::observe(std::int64_t reading, Instant sentAt, Instant receivedAt)
{
    const bool outdated = sentAt < m_validFrom || (m_known && receivedAt < m_receivedAt);
    // An answer that was read late shows less of the clock than an earlier one.
    if (outdated || (m_known && reading < leastReading(receivedAt))) {
        return;
    }
    m_known = true;
    m_reading = reading;
    m_receivedAt = receivedAt;
}

void WorkerClock::reset(Instant now)
{
    m_validFrom = now;
    m_known = false;
}

bool WorkerClock::isKnown() const
{
    return m_known;
}

std::int64_t WorkerClock::leastReading(Instant now) const
{
    const auto passed = std::chrono::duration_cast<Milliseconds>(now - m_receivedAt);
    // A call may have been sent before the last reading arrived. Then its answer may show an earlier time.
    const double rate = passed.count() > 0 ? SlowestRate : 1.0;
    return m_reading + static_cast<std::int64_t>(static_cast<double>(passed.count()) * rate);
}

std::int64_t WorkerClock::leaseEnd(Instant now, Milliseconds length) const
{
    return leastReading(now) + length.count();
}

Instant WorkerClock::expiryUpperBound(std::int64_t reading) const
{
    return m_receivedAt + longestDuration(Milliseconds(reading - m_reading));
}

AnsweringIncarnation WorkerClock::incarnationOf(std::int64_t reading, Instant sentAt) const
{
    if (!m_known || sentAt < m_validFrom) {
        return AnsweringIncarnation::Unclear;
    }
    return reading + RoundingMargin.count() >= leastReading(sentAt) ? AnsweringIncarnation::Known
                                                                    : AnsweringIncarnation::Next;
}

Milliseconds WorkerClock::longestDuration(Milliseconds onWorkerClock)
{
    const double longest = static_cast<double>(onWorkerClock.count()) / SlowestRate;
    return Milliseconds(static_cast<std::int64_t>(longest)) + RoundingMargin;
}

}
