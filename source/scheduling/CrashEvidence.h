#pragma once

#include "scheduling/WorkerState.h"

#include <optional>
#include <vector>

namespace Wagtail
{

// A run under which a worker crashed or may have crashed.
struct CrashEvidence
{
    RunName run;
    // The incarnation of the worker that ran it.
    std::int64_t incarnation = 0;
    CrashTiming timing = CrashTiming::Unknown;

    bool operator==(const CrashEvidence &) const = default;
};

// Returns the timing of a crash of the worker now as it counts for one of its tasks, or nothing if it doesn't count.
// Tasks that had run for a while are no other possible cause of a crash soon after a start.
// Load pattern: a task that crashes its workers at once, on workers full of long-running tasks.
[[nodiscard]] std::optional<CrashTiming> crashTiming(const TaskState &task, const WorkerState &worker);

// Returns the evidence of a crash of the worker now against all of its tasks.
[[nodiscard]] std::vector<CrashEvidence> crashEvidence(const WorkerState &worker);

}
