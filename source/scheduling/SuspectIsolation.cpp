#include "scheduling/SuspectIsolation.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Sharing a worker with any other task weighs more than all other placement costs, with one that was started lately
// more than with many others, and with another suspect more than with all others.
constexpr double SharedWorkerCost = 100.0;
constexpr double SharedStartCost = 3'000.0;
constexpr double SharedSuspicionCost = 100'000.0;
// How long other tasks keep off a worker on which a suspect was placed and has not been confirmed to run.
constexpr Milliseconds LongestProbation {1'000};

// Returns whether a task was started too lately to know that it does not crash its worker.
bool wasStartedLately(const TaskState &task, Instant now)
{
    return !task.runConfirmed || !task.runStartedAt || now - *task.runStartedAt <= CrashHistory::LikelyLimit;
}

// Returns whether the worker may be about to crash because of a suspect that was just placed there.
bool isOnProbation(const TaskState &task, Instant now)
{
    if (!task.crashes.mayBeCause() || now - task.placedAt > LongestProbation) {
        return false;
    }
    return !task.runConfirmed || !task.runStartedAt || now - *task.runStartedAt <= CrashHistory::PromptLimit;
}

std::optional<double> costOfSuspect(const TaskState &task, const IsolationQuery &query, const WorkerState &worker)
{
    double cost = 0.0;
    for (const TaskState *other : worker.tasks) {
        if (other == &task) {
            continue;
        }
        cost += wasStartedLately(*other, query.now) ? SharedStartCost : SharedWorkerCost;
        if (!task.crashes.mayBeCause() || !other->crashes.mayBeCause()) {
            continue;
        }
        if (query.strictness == IsolationStrictness::Required) {
            return std::nullopt;
        }
        cost += SharedSuspicionCost;
    }
    return cost;
}

}

std::optional<double> isolationCost(const TaskState &task, const WorkerState &worker, const IsolationQuery &query)
{
    if (task.crashes.isSuspect()) {
        return costOfSuspect(task, query, worker);
    }
    // The members of a gang have to start together.
    const bool meetsSuspect = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const TaskState *other) {
        const bool startsTogether = other->step == task.step && task.step != nullptr && task.step->specification().gang;
        return !startsTogether && isOnProbation(*other, query.now);
    });
    if (!meetsSuspect) {
        return 0.0;
    }
    return query.strictness == IsolationStrictness::Required ? std::nullopt : std::optional(SharedSuspicionCost);
}

}
