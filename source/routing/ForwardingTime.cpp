#include "routing/ForwardingTime.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// About the time a busy worker takes for a short request. After it another instance may have free capacity.
constexpr Milliseconds MaximumForwardedWait {250};
// The network latency of the reply plus some processing, within a region and between regions 30 ms apart.
constexpr Milliseconds SameRegionReplyTime {20};
constexpr Milliseconds OtherRegionReplyTime {80};

}

Instant queueDeadline(int hops, Instant now, Instant deadline)
{
    return hops == 0 ? deadline : std::min(deadline, now + MaximumForwardedWait);
}

Milliseconds peerTimeBudget(Milliseconds remaining, Distance distance)
{
    const Milliseconds replyTime = distance == Distance::SameRegion ? SameRegionReplyTime : OtherRegionReplyTime;
    return std::max(remaining / 2, remaining - replyTime);
}

}
