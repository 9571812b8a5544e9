#pragma once

#include "scheduling/JobOrder.h"

namespace Wagtail
{

// Places the job with the least remaining work for its value first (Smith's rule, applied to what remains).
// Long-running jobs come first, then jobs that can still meet their latency objective, then jobs that can only be late,
// and last jobs that are too late to be of use, the oldest first. Load pattern: more backfilling work than the workers
// can take for many seconds. An order by slack spreads the workers over all jobs, so that all of them finish late; this
// order finishes one after the other.
class RemainingWorkOrder final : public JobOrder
{
public:
    [[nodiscard]] JobRank rankOf(const JobState &job, Instant now) const override;
};

}
