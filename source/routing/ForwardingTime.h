#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Whether a forwarded request crosses the link between the regions.
enum class Distance {
    SameRegion,
    OtherRegion,
};

// Returns until when a request without a free worker may wait at a daemon where it is not forwarded again. A request
// that came from another daemon goes back early enough that its sender can still look elsewhere: a daemon that is
// about to stop has no workers any more.
[[nodiscard]] Instant waitLimit(int hops, Instant now, Instant deadline);

// Returns how much of the remaining time, in milliseconds, another daemon may use: its answer, also the one that the
// request was not run, must be back before the sender gives the call up.
[[nodiscard]] Milliseconds timeForPeer(Milliseconds remaining, Distance distance);

}
