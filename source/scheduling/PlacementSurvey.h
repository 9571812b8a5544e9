#pragma once

#include "scheduling/WorkerState.h"

#include <map>
#include <string>

namespace Wagtail
{

// Counts why workers do not take a waiting task. Each worker counts under the first reason that applies.
struct PlacementSurvey
{
    // In another pool, too small even when empty, without the required label, or refused by the placement advisor.
    int unsuitable = 0;
    // Not answering, draining, quarantined, or running orphaned runs.
    int unusable = 0;
    // Already running as many tasks of the step as the limit for one worker allows.
    int atPerWorkerLimit = 0;
    // Too small for the task beside the long-running tasks there, even if all batch tasks ended.
    int heldByLongRunning = 0;
    // Large enough once batch tasks have ended.
    int busy = 0;
    // Large enough now.
    int available = 0;

    bool operator==(const PlacementSurvey &) const = default;
};

[[nodiscard]] PlacementSurvey surveyPlacement(
    const std::map<std::string, WorkerState> &workers, const StepState &step, Instant now);

[[nodiscard]] Json describe(const PlacementSurvey &survey);

}
