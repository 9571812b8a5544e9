#include "routing/ForwardingTime.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// About as long as a busy worker takes for a short request; then another daemon may have room.
constexpr Milliseconds ForwardedWait {250};
// The way back within a region, and between regions 30 ms apart, with some processing.
constexpr Milliseconds NearAnswerTime {20};
constexpr Milliseconds FarAnswerTime {80};

}

Instant waitLimit(int hops, Instant now, Instant deadline)
{
    return hops == 0 ? deadline : std::min(deadline, now + ForwardedWait);
}

Milliseconds timeForPeer(Milliseconds remaining, Distance distance)
{
    const Milliseconds answerTime = distance == Distance::SameRegion ? NearAnswerTime : FarAnswerTime;
    return std::max(remaining / 2, remaining - answerTime);
}

}
