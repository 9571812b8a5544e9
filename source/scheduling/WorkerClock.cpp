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
    if (outdated) {
        return;
    }
    m_known = true;
    m_reading = reading;
    m_sentAt = sentAt;
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

std::int64_t WorkerClock::leaseEnd(Instant now, Milliseconds length) const
{
    return m_reading + (std::chrono::duration_cast<Milliseconds>(now - m_sentAt) + length).count();
}

Instant WorkerClock::expiryUpperBound(std::int64_t reading) const
{
    const double remaining = static_cast<double>(reading - m_reading) / SlowestRate;
    return m_receivedAt + Milliseconds(static_cast<std::int64_t>(remaining)) + RoundingMargin;
}

}
