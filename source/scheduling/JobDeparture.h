#pragma once

#include "scheduling/JobState.h"
#include "scheduling/RecoveryHolds.h"

namespace Wagtail
{

// Returns whether a job may be handed over to another partition as a whole: it is not finished, certainly nothing of it
// runs, no other partition has any of its tasks, and no worker of this partition has to be asked about their crashes.
[[nodiscard]] bool mayDepart(const JobState &job, const RecoveryHolds &holds);

// Prepares the progress of a job for another partition, which numbers its runs above all those of this one. Takes the
// number before the first one that this leader term gives to a run.
void prepareDeparture(JobState &job, std::uint64_t lastEarlierRun);

// Prepares a job that another partition has handed over. No earlier owner of this partition can have started anything
// of it since.
void prepareArrival(JobState &job);

}
