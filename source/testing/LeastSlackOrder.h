#pragma once

#include "scheduling/JobOrder.h"

namespace Wagtail
{

// Places the job with the least slack first. Tests compare other orders with it.
class LeastSlackOrder final : public JobOrder
{
public:
    [[nodiscard]] JobRank rankOf(const JobState &job, Instant now) const override
    {
        const JobTier tier = tierOf(job, now);
        const int priority = tier == JobTier::OnTime ? 0 : job.policy.priority;
        return {tier, priority, 0, slackOf(job, now).count()};
    }
};

}
