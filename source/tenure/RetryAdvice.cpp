#include "tenure/RetryAdvice.h"

#include "base/Identifier.h"

namespace Wagtail
{

namespace
{

constexpr int OutageRetrySeconds = 1;
constexpr int RefusedRetrySeconds = 10;
// Retries of callers that were refused at the same time are spread over this time.
constexpr std::uint64_t RetrySpreadSeconds = 10;

}

int retryAfterSeconds(RouteOutcome outcome, const std::string &job)
{
    if (outcome != RouteOutcome::Refused) {
        return OutageRetrySeconds;
    }
    return RefusedRetrySeconds + static_cast<int>(stableHash(job) % RetrySpreadSeconds);
}

}
