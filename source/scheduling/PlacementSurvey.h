#pragma once

#include "scheduling/WorkerState.h"

#include <map>
#include <string>

namespace Wagtail
{

// Why the workers of a pool do not take a waiting task: each worker counts under the first reason that holds.
struct PlacementSurvey
{
    // Too small, or without the required label.
    int unsuitable = 0;
    // Silent, draining, quarantined, or with runs that do not belong there.
    int unusable = 0;
    // Already as many tasks of the step as its spread allows.
    int spread = 0;
    // Lasting tasks leave no room, whatever else ends there.
    int taken = 0;
    // Room as soon as tasks that end by themselves have ended.
    int busy = 0;
    // Room now.
    int open = 0;

    bool operator==(const PlacementSurvey &) const = default;
};

[[nodiscard]] PlacementSurvey surveyPlacement(
    const std::map<std::string, WorkerState> &workers, const StepState &step, Instant now);

[[nodiscard]] Json describe(const PlacementSurvey &survey);

}
