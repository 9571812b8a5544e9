#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Keeps rounds of placement from taking more than a share of the control thread's time, so that renewals of leases and
// ends of runs are handled in between. Rounds that take no measurable time follow each other at once.
// Load pattern: many waiting jobs, which make each round long, on an instance that runs slowly.
class PlacementPacing
{
public:
    void noteRound(Instant begin, Instant end);

    // Returns how long the next round has to wait.
    [[nodiscard]] Milliseconds delayUntilNext(Instant now) const;

private:
    Instant m_nextRoundAt;
};

}
