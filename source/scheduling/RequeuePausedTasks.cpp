#include "scheduling/RequeuePausedTasks.h"

namespace Wagtail
{

namespace
{

// One report interval, so that a task is stopped only if its worker is still short of headroom one report later.
constexpr Milliseconds MaximumPause {400};
// Progress that may be lost with a task that writes no checkpoints, in all its runs together.
constexpr int NegligibleProgressPercent = 15;
// As long as a task that has no worker waits before it starts as a probe.
constexpr Milliseconds LongestIdleTime {3'000};

}

bool RequeuePausedTasks::shouldRequeue(const PausedTask &task) const
{
    return task.pausedFor >= MaximumPause && task.idleFor < LongestIdleTime && !task.isStarvedProbe
        && (task.checkpoints || task.percent + task.lostPercent < NegligibleProgressPercent);
}

}
