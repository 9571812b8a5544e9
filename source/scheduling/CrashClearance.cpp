#include "scheduling/CrashClearance.h"

#include <algorithm>

namespace Wagtail
{

void clearCrashes(TaskState &task, std::uint64_t lastRun)
{
    CrashHistory later;
    for (const auto &[run, crash] : task.crashes.crashes()) {
        if (run > lastRun) {
            later.addCrash(run, crash);
        }
    }
    for (const auto &[run, openRun] : task.crashes.openRuns()) {
        if (run > lastRun) {
            later.open(run, openRun);
        }
    }
    task.crashes = std::move(later);
    task.clearedRun = std::max(task.clearedRun, lastRun);
}

}
