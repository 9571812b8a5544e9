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

Resources WorkerState::room() const
{
    return listing.capacity - used;
}

}
