#include "scheduling/WorkerState.h"

namespace Wagtail
{

namespace
{

// Serving tasks use about half of what they ask for; the rest is left to backfilling tasks.
constexpr double ServingUse = 0.5;

}

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

Resources WorkerState::roomBesideLasting() const
{
    return listing.capacity - usedByLasting;
}

void WorkerState::hold(TaskState &task)
{
    if (tasks.insert(&task).second) {
        count(*task.step, 1);
    }
}

void WorkerState::drop(TaskState &task)
{
    if (tasks.erase(&task) > 0) {
        count(*task.step, -1);
    }
}

void WorkerState::count(const StepState &step, int sign)
{
    const StepSpecification &specification = step.specification();
    const Resources demand = countedDemand(specification);
    const bool hasTail = specification.tailTarget.count() > 0;
    const double use = static_cast<double>(specification.demand.milliCores) * (hasTail ? ServingUse : 1.0);
    used = sign > 0 ? used + demand : used - demand;
    expectedUse += sign * static_cast<std::int64_t>(use);
    if (specification.longRunning) {
        usedByLasting = sign > 0 ? usedByLasting + demand : usedByLasting - demand;
    }
    if (hasTail) {
        int &present = servingImages[step.image];
        present += sign;
        if (present == 0) {
            servingImages.erase(step.image);
        }
    }
}

}
