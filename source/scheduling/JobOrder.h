#pragma once

#include "scheduling/JobRank.h"

namespace Wagtail
{

// Decides in which order jobs that wait for workers get them. Implementations keep no state, so that one object can
// serve several partitions. All calls come from the control thread.
class JobOrder
{
public:
    JobOrder() = default;
    JobOrder(const JobOrder &) = delete;
    JobOrder &operator=(const JobOrder &) = delete;
    virtual ~JobOrder() = default;

    // Returns the rank of a job that is not finished. Jobs with lower ranks are placed first.
    [[nodiscard]] virtual JobRank rankOf(const JobState &job, Instant now) const = 0;
};

}
