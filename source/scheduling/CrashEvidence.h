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

// Returns the timing of a crash of the worker as it counts for one of its tasks, or nothing if it doesn't count. The
// crash happened between the last contact with the worker and the given time. It is shared if another task on the
// worker had been started as late or later, and not long before the crash. Load pattern: a task that crashes its
// workers at once, on workers full of long-running tasks.
[[nodiscard]] std::optional<CrashTiming> crashTiming(
    const TaskState &task, const WorkerState &worker, Instant crashedBy);

// Returns the evidence of a crash of the worker by the given time against all of its tasks.
[[nodiscard]] std::vector<CrashEvidence> crashEvidence(const WorkerState &worker, Instant crashedBy);

}
