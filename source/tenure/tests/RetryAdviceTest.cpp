#include "tenure/RetryAdvice.h"

#include <gtest/gtest.h>
#include <set>

namespace Wagtail
{

// Load: a burst of lasting jobs beyond what the workers hold.
TEST(RetryAdvice, spreadsCallersThatWereRefusedTogether)
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

TEST(RetryAdvice, bringsCallersBackSoonAfterAnOutage)
{
    EXPECT_EQ(retryAfterSeconds(RouteOutcome::Unavailable, "job"), 1);
}

}
