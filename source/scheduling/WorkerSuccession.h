#pragma once

#include "scheduling/WorkerState.h"

#include <map>
#include <string>

namespace Wagtail
{

// Returns whether another worker has answered at the address of the given one, to a report request that was sent after
// the last sign of life of the given one, so that this one has ended.
// Load pattern: a task that crashes each worker at an address soon after it is listed, so that the former worker, which
// is asked at intervals, is never answered for in between.
[[nodiscard]] bool hasSuccessor(const WorkerState &worker, const std::map<std::string, WorkerState> &workers);

}
