#include "workers/WorkerMessages.h"

namespace Wagtail
{

std::string_view nameOf(WorkerTaskState state)
{
    switch (state) {
    case WorkerTaskState::Running:
        return "running";
    case WorkerTaskState::Done:
        return "done";
    case WorkerTaskState::Failed:
        return "failed";
    case WorkerTaskState::Stopped:
        return "stopped";
    case WorkerTaskState::Lapsed:
        return "lapsed";
    case WorkerTaskState::Absent:
        break;
    }
    return "absent";
}

WorkerTaskState workerTaskStateFromName(std::string_view name)
{
    for (const WorkerTaskState state : {WorkerTaskState::Running, WorkerTaskState::Done, WorkerTaskState::Failed,
             WorkerTaskState::Stopped, WorkerTaskState::Lapsed}) {
        if (nameOf(state) == name) {
            return state;
        }
    }
    return WorkerTaskState::Absent;
}

}
