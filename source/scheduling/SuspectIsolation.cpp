#include "scheduling/SuspectIsolation.h"

#include "scheduling/CrashVerdict.h"

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
// How long suspects and other tasks keep off each other's workers without a confirmation that the one there runs.
constexpr Milliseconds LongestProbation {1'000};

// Returns whether a task was started too lately to know that it does not crash its worker.
bool wasStartedLately(const TaskState &task, Instant now)
{
    return !task.runConfirmed || !task.runStartedAt || now - *task.runStartedAt <= CrashHistory::LikelyLimit;
}

// Returns whether a task was just placed on its worker, which it would crash about now if it does so promptly.
bool isOnProbation(const TaskState &task, Instant now)
{
    if (now - task.placedAt > LongestProbation) {
        return false;
    }
    return !task.runConfirmed || !task.runStartedAt || now - *task.runStartedAt <= CrashHistory::PromptLimit;
}

// Returns whether two tasks are members of a gang, which have to start together.
bool startTogether(const TaskState &task, const TaskState &other)
{
    return task.step != nullptr && other.step == task.step && task.step->specification().gang;
}

// Returns whether the incarnation of the worker crashed, or may have crashed, under the task of the history.
bool hasCrash(const CrashHistory &history, const std::string &worker, std::int64_t incarnation)
{
    const auto &crashes = history.crashes();
    const auto &openRuns = history.openRuns();
    if (incarnation == 0) {
        return false;
    }
    const bool isCounted = std::any_of(crashes.begin(), crashes.end(),
        [&](const auto &entry) { return entry.second.worker == worker && entry.second.incarnation == incarnation; });
    return isCounted || std::any_of(openRuns.begin(), openRuns.end(), [&](const auto &entry) {
        return entry.second.timingIfCrashed && entry.second.worker == worker && entry.second.incarnation == incarnation;
    });
}

// Returns whether the next crash under the task must show whether the task is its cause.
bool needsClearEvidence(const CrashHistory &history)
{
    return history.mayBeCause() || isNearlyProven(history);
}

// Returns whether two tasks must be kept apart to find out which one crashes workers.
bool areRivals(const CrashHistory &left, const CrashHistory &right)
{
    const bool isLeftOpen = needsClearEvidence(left);
    const bool isRightOpen = needsClearEvidence(right);
    if (!isLeftOpen && !isRightOpen) {
        return false;
    }
    if (isLeftOpen && isRightOpen) {
        return true;
    }
    const auto &crashes = left.crashes();
    const auto &openRuns = left.openRuns();
    return std::any_of(crashes.begin(), crashes.end(), [&](const auto &entry) {
        return hasCrash(right, entry.second.worker, entry.second.incarnation);
    }) || std::any_of(openRuns.begin(), openRuns.end(), [&](const auto &entry) {
        return entry.second.timingIfCrashed && hasCrash(right, entry.second.worker, entry.second.incarnation);
    });
}

std::optional<double> costOfSuspect(const TaskState &task, const IsolationQuery &query, const WorkerState &worker)
{
    double cost = 0.0;
    for (const TaskState *other : worker.tasks) {
        if (other == &task) {
            continue;
        }
        cost += wasStartedLately(*other, query.now) ? SharedStartCost : SharedWorkerCost;
        const bool isRival = areRivals(task.crashes, other->crashes);
        const bool isStarting
            = needsClearEvidence(task.crashes) && isOnProbation(*other, query.now) && !startTogether(task, *other);
        if (!isRival && !isStarting) {
            continue;
        }
        if (query.strictness == IsolationStrictness::Required) {
            return std::nullopt;
        }
        cost += isRival ? SharedSuspicionCost : 0.0;
    }
    if (worker.heldPlaces.isEmpty()) {
        return cost;
    }
    for (const CrashHistory *other : worker.heldPlaces.crashesOfOthers(nameOf(task))) {
        const bool isRival = areRivals(task.crashes, *other);
        if (isRival && query.strictness == IsolationStrictness::Required) {
            return std::nullopt;
        }
        cost += SharedStartCost + (isRival ? SharedSuspicionCost : 0.0);
    }
    return cost;
}

}

std::optional<double> isolationCost(const TaskState &task, const WorkerState &worker, const IsolationQuery &query)
{
    if (task.crashes.isSuspect()) {
        return costOfSuspect(task, query, worker);
    }
    const bool meetsSuspect = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const TaskState *other) {
        return needsClearEvidence(other->crashes) && isOnProbation(*other, query.now) && !startTogether(task, *other);
    });
    if (!meetsSuspect) {
        return 0.0;
    }
    return query.strictness == IsolationStrictness::Required ? std::nullopt : std::optional(SharedSuspicionCost);
}

}
