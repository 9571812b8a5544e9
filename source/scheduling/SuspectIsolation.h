#pragma once

#include "scheduling/WorkerState.h"

namespace Wagtail
{

// How strictly tasks that may have crashed a worker are kept apart.
enum class IsolationStrictness {
    // Two of them are never placed on the same worker.
    Required,
    // The task has found no worker of its own for so long that it may share one.
    Preferred,
};

struct IsolationQuery
{
    IsolationStrictness strictness = IsolationStrictness::Required;
    Instant now;
};

// Keeps tasks under which workers have crashed away from each other and from other tasks, so that the next crash takes
// few tasks along and shows which task is the cause. A task for which a place is held counts like one that was started
// lately. Other tasks keep off a worker on which such a task was just
// placed. Load pattern: a crash that ends up to twenty tasks, one of which crashes the next worker as well. Returns
// what is added to the cost of placing the task on the worker, or nothing if it must not be placed there.
[[nodiscard]] std::optional<double> isolationCost(
    const TaskState &task, const WorkerState &worker, const IsolationQuery &query);

}
