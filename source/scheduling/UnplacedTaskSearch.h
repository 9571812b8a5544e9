#pragma once

#include "scheduling/RecoveryHolds.h"
#include "scheduling/WorkerState.h"

#include <map>
#include <optional>
#include <string>

namespace Wagtail
{

// A step with long-running tasks for which no worker was found.
struct UnplacedStep
{
    std::string job;
    int step = 0;
    int waiting = 0;
    // Whether another partition owns the job, so that the tasks can only be given back.
    bool ownedElsewhere = false;

    bool operator==(const UnplacedStep &) const = default;
};

// Whether other partitions start tasks of steps that depend on others. Those of earlier versions don't.
enum class DependentSteps {
    MayLeave,
    Stay,
};

// Returns whether single tasks of the step may be run by another partition: long-running ones that need not start
// together. All other jobs leave as a whole.
[[nodiscard]] bool hasMovableTasks(const StepState &step, DependentSteps dependents);

// Finds the long-running tasks that should be run by another partition, because they have found no worker in this one
// for as long as waiting for one pays.
class UnplacedTaskSearch
{
public:
    UnplacedTaskSearch(const std::map<std::string, WorkerState> &workers, RecoveryHolds holds, Instant now,
        DependentSteps dependents = DependentSteps::MayLeave);

    // Returns the waiting tasks of a step that another partition should run, or nothing.
    [[nodiscard]] std::optional<UnplacedStep> search(const StepState &step) const;

private:
    [[nodiscard]] Milliseconds delayFor(const StepState &step) const;

    const std::map<std::string, WorkerState> &m_workers;
    RecoveryHolds m_holds;
    Instant m_now;
    DependentSteps m_dependents;
    // Whether this leader term has heard all workers, or asked them in vain.
    bool m_knowsWorkers = false;
};

}
