#pragma once

#include "scheduling/CrashHistory.h"

namespace Wagtail
{

enum class CrashVerdict {
    // The task is started again.
    Retry,
    // The task must not be started before it is known whether workers have crashed under its lost runs.
    Wait,
    // The task crashes its workers and must not be started any more.
    GiveUp,
};

// Decides whether a task is given up because workers crashed under it. Two crashes suffice if both were prompt and no
// other task may have caused one of them. Otherwise three are needed, and four if other tasks may have caused
// them, because tasks on the same worker share its crashes, and a run may have ended before the crash unnoticed.
// Load pattern: a single poison task among thousands that run beside it, on workers that also crash by chance.
[[nodiscard]] CrashVerdict judge(const CrashHistory &history);

// Returns whether one more late crash that no other task may have caused would prove that the task is the cause.
[[nodiscard]] bool isNearlyProven(const CrashHistory &history);

// Returns whether the same holds and it is still being found out whether workers have crashed under lost runs, so that
// the next crash can't be judged without them.
[[nodiscard]] bool mayLostRunsDecide(const CrashHistory &history);

}
