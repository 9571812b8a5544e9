#include "tenure/RetryAdvice.h"

#include "base/Identifier.h"

namespace Wagtail
{

namespace
{

constexpr int OutageSeconds = 1;
constexpr int CrowdedSeconds = 10;
// Callers that were refused together come back spread over this time.
constexpr std::uint64_t SpreadSeconds = 10;

}

int retryAfterSeconds(RouteOutcome outcome, const std::string &job)
{
    if (outcome != RouteOutcome::Refused) {
        return OutageSeconds;
    }
    return CrowdedSeconds + static_cast<int>(stableHash(job) % SpreadSeconds);
}

}
