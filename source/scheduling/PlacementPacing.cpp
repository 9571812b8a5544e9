#include "scheduling/PlacementPacing.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Rounds take a quarter of the time at most.
constexpr int PausesPerRound = 3;
// Jobs must not wait longer than this for a round, however long rounds take.
constexpr Milliseconds LongestPause {500};

}

void PlacementPacing::noteRound(Instant begin, Instant end)
{
    m_nextRoundAt = end + std::min<Instant::duration>((end - begin) * PausesPerRound, LongestPause);
}

Milliseconds PlacementPacing::delayUntilNext(Instant now) const
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(m_nextRoundAt - now));
}

}
