#pragma once

#include "scheduling/JobState.h"

namespace Wagtail
{

// Returns whether the task's current run may have been completed by the given time without its owner having read the
// end. Such a task must not run again while its worker may still list the end.
// Takes the time of the last answer of the worker.
// Load pattern: a live worker whose answers its owner does not get for as long as the leases last.
[[nodiscard]] bool mayHaveCompleted(const TaskState &task, Instant lastContact, Instant by);

}
