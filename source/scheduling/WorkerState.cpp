#include "scheduling/WorkerState.h"

namespace Wagtail
{

Resources WorkerState::countedDemand(const StepSpecification &step)
{
    Resources demand = step.demand;
    if (step.backfills) {
        demand.milliCores = 0;
    }
    return demand;
}

double WorkerState::shareOf(const StepSpecification &step) const
{
    const std::int64_t capacity = listing.capacity.milliCores;
    return capacity <= 0 ? 0.0 : static_cast<double>(step.demand.milliCores) / static_cast<double>(capacity);
}

Resources WorkerState::room() const
{
    return listing.capacity - used;
}

}
