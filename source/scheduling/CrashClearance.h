#pragma once

#include "scheduling/JobState.h"

namespace Wagtail
{

// Clears a task of all crashes under the given run and earlier ones, because this run has shown that the task does not
// crash each worker that starts it: it ended by itself, or lived for long. What is found out later about these runs
// counts no more either.
// Load pattern: a task that fails now and then, on workers that other tasks crash.
void clearCrashes(TaskState &task, std::uint64_t lastRun);

}
