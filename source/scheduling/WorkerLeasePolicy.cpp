#include "scheduling/WorkerLeasePolicy.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// An owner's lease, the load of its partition and a round of reports, twice over.
constexpr Milliseconds LongestTakeOver {6'000};

}

Milliseconds workerLeaseDuration(Milliseconds longestAllowed)
{
    return std::min(longestAllowed, LongestTakeOver);
}

}
