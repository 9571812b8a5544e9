#pragma once

#include "scheduling/BackfillInterferenceModel.h"

#include <vector>

namespace Wagtail
{

// A serving task on a worker at the time of the worker's last report.
struct ServingSample
{
    ImageId image = 0;
    double load = 0.0;
    // The load at which its tail latency reaches the target.
    double limit = 0.0;
    // How long its tail latency has been over the target; 0 if it is not.
    std::int64_t overTargetMilliseconds = 0;
    // Whether it would be within its target without the backfilling tasks, by the interference model.
    bool isOverByBackfill = false;
    // Whether it is close to its limit, or over it, without the backfilling tasks. See isNearLimitByItself().
    bool isNearLimitByItself = false;
};

// A backfilling task on a worker at the time of the worker's last report.
struct BackfillSample
{
    ImageId image = 0;
    // The processors that it would use at full speed and those that it uses now, as shares of the worker's capacity.
    double demand = 0.0;
    double use = 0.0;
    // The share of its full speed at which it may work.
    int percent = 100;
    // Whether it has had that speed for so long that its use will not grow any more.
    bool isSettled = false;
    // Whether it may work beside serving tasks that are close to their limits by themselves. See ProbeTrial.
    bool isOnTrial = false;
};

// Returns whether a serving task has been over its target for so long that all backfilling tasks beside it are stopped.
[[nodiscard]] bool isOverTargetForLong(const ServingSample &serving);

// Returns the speed at which each backfilling task may work next, in percent of its full speed and in the given order.
// The tasks that interfere most with a serving task close to its limit are throttled first. The others continue, and
// speed is restored as far as the limits of all serving tasks allow. Tasks on trial keep their speed beside serving
// tasks that are close to their limits by themselves. Load pattern: serving load that changes within seconds beside
// bursts of backfilling tasks.
[[nodiscard]] std::vector<int> nextSpeeds(const BackfillInterferenceModel &model,
    const std::vector<ServingSample> &serving, const std::vector<BackfillSample> &backfilling);

// Returns the growth of load to be expected from tasks that have not reached their permitted speed yet.
[[nodiscard]] double pendingLoadGrowth(
    const BackfillInterferenceModel &model, ImageId serving, const std::vector<BackfillSample> &backfilling);

// Returns by how much the load of a serving task would exceed its limit if one more backfilling task with the given
// demand were added, as the maximum over all serving tasks. Negative values are the remaining distance to the limit.
// Serving tasks that the new task does not disturb are not counted; without any other the result is -1. The result is 1
// if a serving task has been over its target for so long that all backfilling tasks beside it are stopped.
[[nodiscard]] double predictedExcessLoad(const BackfillInterferenceModel &model,
    const std::vector<ServingSample> &serving, const std::vector<BackfillSample> &backfilling, ImageId image,
    double demand);

}
