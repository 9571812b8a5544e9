#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Bounds the time until which the last owner of a partition may have granted leases to workers. Without an outage of
// the store it stops with its store lease. In an outage that began while it still relied on that lease it may go on
// until the outage is over, since it can't know that it has been replaced.
class PredecessorTenure
{
public:
    // Takes when the term of its successor began, and how long after that an owner relies on its store lease.
    PredecessorTenure(Instant successorBeganAt, Milliseconds ownerLease);

    // Applies when the store last confirmed the successor's own lease. Must be called at least every 250 ms.
    void observe(Instant leaseConfirmedAt, Instant now);

    // Returns until when the last owner may have granted leases, as far as is known now.
    [[nodiscard]] Instant grantsEndAt() const;

private:
    Instant m_successorBeganAt;
    Milliseconds m_ownerLease;
    Instant m_grantsEndAt;
};

}
