#include "workers/WorkerMessages.h"

#include "base/NameTable.h"

namespace Wagtail
{

namespace
{

constexpr NameTable<WorkerTaskState, 6> Names {{{
    {WorkerTaskState::Running, "running"},
    {WorkerTaskState::Done, "done"},
    {WorkerTaskState::Failed, "failed"},
    {WorkerTaskState::Stopped, "stopped"},
    {WorkerTaskState::LeaseExpired, "lapsed"},
    {WorkerTaskState::Absent, "absent"},
}}};

}

std::string_view nameOf(WorkerTaskState state)
{
    return Names.nameOf(state);
}

WorkerTaskState workerTaskStateFromName(std::string_view name)
{
    return Names.find(name).value_or(WorkerTaskState::Absent);
}

}
