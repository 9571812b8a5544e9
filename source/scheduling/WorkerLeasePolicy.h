#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Returns the duration of the leases that an owner grants to its workers, given the longest one that they accept. A
// lease has to outlast a take-over, or the running tasks end before the successor renews them. Anything beyond that
// delays the restart of a lost worker's tasks, because a successor waits until the last lease has surely expired.
// Load pattern: a worker and the owner of its partition are lost within one lease.
[[nodiscard]] Milliseconds workerLeaseDuration(Milliseconds longestAllowed);

}
