#pragma once

#include "scheduling/BackfillProbe.h"

namespace Wagtail
{

// What a task needs from a worker, and the state that its placement depends on.
struct PlacementQuery
{
    const StepState *step = nullptr;
    std::string pool;
    const std::set<std::string> *avoidedWorkers = nullptr;
    // The rack of the other tasks of a step with sameRack, or empty.
    std::string preferredRack;
    const BackfillInterferenceModel *interference = nullptr;
    // For a backfilling task that is to start as a probe.
    std::optional<ProbeKind> probe;
    Instant now;
    // Whether the worker has free resources for the task beside the places that are held there for others.
    bool hasFreeResources = false;
};

// Returns whether a worker may get any new tasks now.
[[nodiscard]] bool acceptsTasks(const WorkerState &worker, Instant now);

// Returns whether a start order that was held back or left unanswered may be sent now. Since the task was placed, the
// worker may have lost some of its capacity, so that its tasks, this one included, no longer fit.
[[nodiscard]] bool mayRepeatStart(const WorkerState &worker, const StepState &step, Instant now);

// Returns whether the end of a task of the step that starts on a worker now will reach the owner, unless the worker
// crashes. Long-running tasks are restarted however they end.
[[nodiscard]] bool willLearnOfEnd(const WorkerState &worker, const StepSpecification &step, Instant now);

// Returns whether a worker already has as many tasks of a step, and places held for them, as
// StepSpecification::perWorkerLimit allows.
[[nodiscard]] bool hasReachedPerWorkerLimit(const WorkerState &worker, const StepState &step);

// Returns whether a worker may get a task of the step as soon as batch tasks leave it enough room.
[[nodiscard]] bool couldTakeLater(const WorkerState &worker, const StepState &step, Instant now);

// Returns the cost of a placement, where lower is better, or nothing if a hard limit forbids it. Tight packing keeps
// whole workers free, and backfilling tasks are kept away from the serving tasks that they would disturb.
// Load pattern: steps with many tasks that arrive in bursts beside long-running tasks.
[[nodiscard]] std::optional<double> placementCost(const WorkerState &worker, const PlacementQuery &query);

// Returns whether a worker belongs to the pool and could run a task of the step if it were empty.
// Returns whether the step needs no advice, or the placement advisor has permitted the worker for it. The ticket may
// have expired, so that it has to be asked for again.
[[nodiscard]] bool isAdvised(const WorkerState &worker, const StepState &step);

// Returns whether the placement advisor has refused the worker for the step. That does not change during this
// incarnation of the worker.
[[nodiscard]] bool isRefusedByAdvice(const WorkerState &worker, const StepState &step);

[[nodiscard]] bool meetsRequirements(const WorkerState &worker, const StepSpecification &step, const std::string &pool);

}
