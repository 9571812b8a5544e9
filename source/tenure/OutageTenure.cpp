#include "tenure/OutageTenure.h"

namespace Wagtail
{

namespace
{

// Another instance confirms an outage if it had no answer of the store for 1.7 s, and the store may give the lease's
// keys away 0.3 s after the owner stops to rely on it. A confirmation within this time leaves no room for a take-over.
constexpr Milliseconds LongestConfirmationDelay {2'000};

}

void OutageTenure::observe(bool leaseHeld, bool outageConfirmed, Instant now)
{
    if (leaseHeld) {
        m_leaseHeldAt = now;
        m_isUnbroken = true;
        m_wasConfirmed = false;
    } else if (outageConfirmed) {
        m_wasConfirmed = m_wasConfirmed || m_isUnbroken;
    } else if (m_wasConfirmed || now - m_leaseHeldAt > LongestConfirmationDelay) {
        m_isUnbroken = false;
    }
    m_mayGoOn = leaseHeld || (outageConfirmed && m_isUnbroken);
}

bool OutageTenure::mayGoOn() const
{
    return m_mayGoOn;
}

}
