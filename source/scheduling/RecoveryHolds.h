#pragma once

#include "scheduling/TaskName.h"

#include <map>

namespace Wagtail
{

struct TaskState;

// For what a new owner holds back tasks of which it knows no run.
enum class RecoveryStage {
    // Runs may go on, because workers that have not answered may hold leases.
    Leases,
    // All leases have expired, but live workers that have not answered may list ends of runs.
    Reports,
    Over,
};

// Tells for what each task of which no run is known has to wait, as far as workers are concerned that have not answered
// the new owner. It is a snapshot, which a round of placement uses throughout.
class RecoveryHolds
{
public:
    // Adds a worker that may run, or have completed, any task.
    void addForAll(RecoveryStage stage);

    // Adds a worker that may do so with the given task.
    void add(const TaskName &task, RecoveryStage stage);

    // Returns whether no task has to wait.
    [[nodiscard]] bool isEmpty() const;

    // Returns whether a run of the task that this term does not know of may still matter.
    [[nodiscard]] bool isHeldBack(const TaskState &task) const;

private:
    [[nodiscard]] RecoveryStage stageOf(const TaskState &task) const;

    RecoveryStage m_forAll = RecoveryStage::Over;
    std::map<TaskName, RecoveryStage> m_byTask;
};

}
