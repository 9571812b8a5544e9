#pragma once

#include "base/Clock.h"
#include "scheduling/JobState.h"

#include <optional>

namespace Wagtail
{

// How far a draining worker is from its exit, as far as its owner can tell.
class DrainProgress
{
public:
    // Takes since when the owner knows that the worker drains, and the minimum time between the beginning and the exit.
    // If the worker was draining already when the owner first heard of it, it may leave at any moment.
    DrainProgress(Instant knownSince, bool sawItBegin, Milliseconds drain, Instant now);

    // For how long the worker is known to drain.
    [[nodiscard]] Milliseconds knownFor() const;

    // Returns how long a task may still run there and be stopped in time.
    [[nodiscard]] Milliseconds timeLeft() const;

    // Returns whether so little of the time is certain that tasks must not wait for each other any longer.
    [[nodiscard]] bool isShortOfTime() const;

    bool operator==(const DrainProgress &) const = default;

private:
    Milliseconds m_knownFor;
    Milliseconds m_timeLeft;
    bool m_shortOfTime;
};

// Returns whether a run on a draining worker would end with the worker and is worth being moved before.
[[nodiscard]] bool isToBeEvacuated(const TaskState &task, const DrainProgress &progress);

// Returns whether a task that is to be evacuated may be stopped now as far as its step is concerned. The tasks of a
// long-running step are moved within its disruption budget as long as there is time.
[[nodiscard]] bool mayBeEvacuatedNow(const TaskState &task, const DrainProgress &progress);

}
