#pragma once

#include "scheduling/WorkerState.h"

namespace Wagtail
{

// What a task looks for when it needs a worker.
struct WorkerQuery
{
    const StepState *step = nullptr;
    std::string pool;
    const std::set<std::string> *avoided = nullptr;
    // The rack that the other tasks of a rack-bound step stand on, or empty.
    std::string preferredRack;
    const BackfillInterferenceModel *pressure = nullptr;
    Instant now;
};

// Returns whether a worker may get new tasks at all.
[[nodiscard]] bool isUsable(const WorkerState &worker, Instant now);

// Returns whether a worker has as many tasks of a step as the step's limit for one worker allows.
[[nodiscard]] bool hasReachedSpread(const WorkerState &worker, const StepState &step);

// Returns the cost of a placement; nothing when a hard limit forbids it. Lower is better.
// Load pattern: wide steps that arrive in bursts among lasting tasks; tight packing keeps whole workers free,
// and backfilling tasks are kept away from serving tasks, which they disturb.
[[nodiscard]] std::optional<double> placementCost(const WorkerState &worker, const WorkerQuery &query);

// Returns whether any worker of the pool could ever hold a task of the step, were it empty.
[[nodiscard]] bool couldEverHold(const WorkerState &worker, const StepSpecification &step, const std::string &pool);

}
