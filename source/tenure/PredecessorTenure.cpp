#include "tenure/PredecessorTenure.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A lease is renewed more often than this while the store answers.
constexpr Milliseconds LongestRenewalGap {1'700};
// An owner goes on in an outage that is confirmed so long after the end of its lease.
constexpr Milliseconds LongestConfirmationDelay {2'000};

}

PredecessorTenure::PredecessorTenure(Instant successorBeganAt, Milliseconds ownerLease)
    : m_successorBeganAt(successorBeganAt), m_ownerLease(ownerLease), m_grantsEndAt(successorBeganAt + ownerLease)
{
}

void PredecessorTenure::observe(Instant leaseConfirmedAt, Instant now)
{
    const bool isStoreAway = now - leaseConfirmedAt > LongestRenewalGap;
    const bool beganInTime = leaseConfirmedAt - m_successorBeganAt <= m_ownerLease + LongestConfirmationDelay;
    if (isStoreAway && beganInTime) {
        m_grantsEndAt = std::max(m_grantsEndAt, now + m_ownerLease);
    }
}

Instant PredecessorTenure::grantsEndAt() const
{
    return m_grantsEndAt;
}

}
