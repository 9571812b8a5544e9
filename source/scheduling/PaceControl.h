#pragma once

#include "scheduling/BackfillInterferenceModel.h"

#include <vector>

namespace Wagtail
{

// A serving task on a worker, as its last report shows it.
struct ServingReading
{
    ImageId image = 0;
    double load = 0.0;
    // The load at which its tail reaches its target.
    double limit = 0.0;
    // How long its tail has been over its target, in milliseconds; 0 when it is not.
    std::int64_t overForMilliseconds = 0;
};

// A backfilling task on a worker.
struct BackfillReading
{
    ImageId image = 0;
    // What it would use at full speed and what it uses now, as shares of the worker's capacity.
    double demand = 0.0;
    double use = 0.0;
    // The share of its speed at which it may work, in percent.
    int percent = 100;
};

// Returns the share of its speed that each backfilling task gets next, in percent, in the given order.
// Load pattern: serving load that swings within seconds beside waves of backfilling work. The tasks that press hardest
// on an endangered serving task are slowed down first; others go on, and speed is given back as far as it fits.
[[nodiscard]] std::vector<int> nextPaces(const BackfillInterferenceModel &model,
    const std::vector<ServingReading> &serving, const std::vector<BackfillReading> &backfilling);

// Returns the highest load over its limit that a serving task would show if the demand of one more backfilling
// task came on top of what is there; below 0 there is room left. Nothing serving gives -1.
[[nodiscard]] double excessWith(const BackfillInterferenceModel &model, const std::vector<ServingReading> &serving,
    const std::vector<BackfillReading> &backfilling, ImageId image, double demand);

}
