#pragma once

#include "tenure/JobRouter.h"

namespace Wagtail
{

// Returns after how many seconds a caller whose job was not accepted should retry. In a burst of long-running jobs
// beyond the workers' capacity, capacity becomes free when other long-running jobs end, which takes tens of seconds:
// callers that retry every second, or all at once, would be refused again. Store outages are shorter.
[[nodiscard]] int retryAfterSeconds(RouteOutcome outcome, const std::string &job);

}
