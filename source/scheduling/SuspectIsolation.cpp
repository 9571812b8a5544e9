#include "scheduling/SuspectIsolation.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Sharing a worker with any other task weighs more than all other placement costs, and sharing it with another suspect
// more than sharing it with many other tasks.
constexpr double SharedWorkerCost = 100.0;
constexpr double SharedSuspicionCost = 10'000.0;

}

std::optional<double> isolationCost(const TaskState &task, const WorkerState &worker, IsolationStrictness strictness)
{
    if (!task.crashes.isSuspect()) {
        return 0.0;
    }
    const auto others = std::count_if(
        worker.tasks.begin(), worker.tasks.end(), [&task](const TaskState *other) { return other != &task; });
    double cost = SharedWorkerCost * static_cast<double>(others);
    const bool meetsSuspect = std::any_of(worker.tasks.begin(), worker.tasks.end(),
        [&task](const TaskState *other) { return other != &task && other->crashes.mayBeCause(); });
    if (task.crashes.mayBeCause() && meetsSuspect) {
        if (strictness == IsolationStrictness::Required) {
            return std::nullopt;
        }
        cost += SharedSuspicionCost;
    }
    return cost;
}

}
