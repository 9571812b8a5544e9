#pragma once

#include "scheduling/RecoveryHolds.h"
#include "scheduling/UnplacedTaskSearch.h"
#include "scheduling/WorkerState.h"

namespace Wagtail
{

// Finds the jobs that should go on in another partition as a whole: nothing of them runs, and a step has found no
// worker in this one for as long as waiting for one pays. Single long-running tasks are passed on by
// UnplacedTaskSearch. Load pattern: the only workers of a kind leave, a partition is full of long tasks while others
// are idle, or the advice permits only workers of another partition.
class RelocationCandidates
{
public:
    RelocationCandidates(
        const std::map<std::string, WorkerState> &workers, RecoveryHolds holds, Instant now, DependentSteps dependents);

    // Returns the tasks of the job that need places in another partition: some of a step, or all if it is a gang.
    // Returns none if the job should stay.
    [[nodiscard]] std::vector<const TaskState *> search(const JobState &job) const;

private:
    [[nodiscard]] bool hasWaited(const StepState &step) const;
    // Returns whether the step could start here if batch tasks ended, as far as the advice is known.
    [[nodiscard]] bool couldStartLater(const StepState &step) const;

    const std::map<std::string, WorkerState> &m_workers;
    RecoveryHolds m_holds;
    Instant m_now;
    DependentSteps m_dependents;
    // Whether this leader term has heard all workers, or asked them in vain.
    bool m_knowsWorkers = false;
};

}
