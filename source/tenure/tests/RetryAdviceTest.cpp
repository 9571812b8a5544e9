#include "tenure/RetryAdvice.h"

#include <gtest/gtest.h>
#include <set>

namespace Wagtail
{

// A burst of long-running jobs exceeds the capacity of the workers.
TEST(RetryAdvice, spreadsRetriesOfCallersThatWereRefusedTogether)
{
    std::set<int> seconds;
    constexpr int Jobs = 200;
    for (int i = 0; i < Jobs; ++i) {
        seconds.insert(retryAfterSeconds(RouteOutcome::Refused, "job-" + std::to_string(i)));
    }
    EXPECT_GE(*seconds.begin(), 10);
    EXPECT_LT(*seconds.rbegin(), 20);
    EXPECT_GE(seconds.size(), 8U);
}

TEST(RetryAdvice, letsCallersRetrySoonAfterAnOutage)
{
    EXPECT_EQ(retryAfterSeconds(RouteOutcome::Unavailable, "job"), 1);
}

}
