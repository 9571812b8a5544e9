#pragma once

#include "scheduling/JobState.h"

namespace Wagtail
{

// Returns whether the task's current run may have been completed when the leases of its worker expired, without its
// owner having read the end. Such a task must not run again while its worker may still list the end.
// Load pattern: a live worker whose answers its owner does not get for as long as the leases last.
[[nodiscard]] bool mayHaveCompleted(const TaskState &task, Instant leasesExpireAt);

// Returns whether the task's current run may have been completed by the given time without its owner having read the
// end. Unlike mayHaveCompleted(), it trusts the submitter's estimate if no progress is known.
// Load pattern: tasks that are done within the time that a worker needs to restart.
[[nodiscard]] bool mayHaveEndedUnread(const TaskState &task, Instant by);

}
