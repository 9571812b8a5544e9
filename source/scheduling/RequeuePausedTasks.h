#pragma once

#include "scheduling/PausedTaskPolicy.h"

namespace Wagtail
{

// Stops a paused task soon if that loses little of its work.
// Load pattern: serving load that rises for seconds while more backfilling work waits than the workers can take. Tasks
// that were placed before then stay paused, while later tasks get each place that becomes free elsewhere: the last task
// of a step keeps its whole job waiting. Stopped tasks compete for these places by the rank of their jobs. A task that
// has not worked for some seconds keeps its worker, since it would only be paused on one after another, and so does the
// probe of a starved job, which would have nothing running again.
class RequeuePausedTasks final : public PausedTaskPolicy
{
public:
    [[nodiscard]] bool shouldRequeue(const PausedTask &task) const override;
};

}
