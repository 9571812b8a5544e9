#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Whether a request is forwarded within the region or over the link between the regions.
enum class Distance {
    SameRegion,
    OtherRegion,
};

// Returns until when a request may wait for a free worker at an instance that does not forward it again. A request that
// another instance forwarded returns early enough for its sender to try a third one, because an instance that is
// stopping has no workers left. The number of hops counts how often the request was forwarded.
[[nodiscard]] Instant queueDeadline(int hops, Instant now, Instant deadline);

// Returns how much of the remaining time another instance may use. Its reply, including one that the request was not
// run, must arrive before the sender's call times out.
[[nodiscard]] Milliseconds peerTimeBudget(Milliseconds remaining, Distance distance);

}
