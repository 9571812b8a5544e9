#pragma once

#include "tenure/JobRouter.h"

namespace Wagtail
{

// Returns after how many seconds a caller whose job was not taken should come back.
// Load pattern: a burst of lasting jobs beyond what the workers hold. Room for them comes when other lasting jobs end,
// which takes tens of seconds; callers that come back every second, or all at once, would only be refused again. The
// store's outages end sooner.
[[nodiscard]] int retryAfterSeconds(RouteOutcome outcome, const std::string &job);

}
