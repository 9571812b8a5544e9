#include "scheduling/BackfillThrottle.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Wagtail
{

namespace
{

constexpr int FullSpeedPercent = 100;
// A backfilling task that would have to run slower than this is stopped instead.
constexpr int MinimumSpeedPercent = 15;
// Distances from the load limit. Reports are half a second old, in which time the load can grow by about 0.05.
constexpr double ThrottleMargin = 0.05;
constexpr double ThrottleTargetMargin = 0.12;
constexpr double RestoreMargin = 0.15;
// If a serving task stays over its target this long, all backfilling tasks on the worker are stopped, whatever the
// model predicts. It is half of the time after which the interference counts as a violation.
constexpr std::int64_t MaximumOverTargetMilliseconds = 1'500;
// The result of predictedExcessLoad() for workers that take no further backfilling tasks.
constexpr double MaximumExcessLoad = 1.0;
// Backfilling tasks that add less than this to the load of a serving task are not throttled for it, however high that
// load is.
constexpr double MinimumLoadGrowth = 0.015;

// Returns whether a backfilling task may go on beside a serving task that is close to its limit.
bool isSpared(const BackfillSample &task, const ServingSample &serving)
{
    return task.isOnTrial && serving.isNearLimitByItself;
}

// Reduces the speeds of the backfilling tasks, those that raise the load of the serving task most first, until its load
// is expected to fall to the target margin below its limit.
void reduceSpeeds(const BackfillInterferenceModel &model, const ServingSample &serving,
    const std::vector<BackfillSample> &backfilling, std::vector<int> &speeds)
{
    std::vector<std::size_t> order(backfilling.size());
    std::iota(order.begin(), order.end(), 0);
    const auto loadGrowthBy = [&](std::size_t i) {
        return model.coefficient(serving.image, backfilling[i].image) * backfilling[i].demand * speeds[i]
            / FullSpeedPercent;
    };
    std::sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return loadGrowthBy(left) > loadGrowthBy(right); });
    double needed = serving.load - (serving.limit - ThrottleTargetMargin);
    for (const std::size_t i : order) {
        const double growth = loadGrowthBy(i);
        if (needed <= 0.0 || growth < MinimumLoadGrowth) {
            break;
        }
        if (isSpared(backfilling[i], serving)) {
            continue;
        }
        const double keptShare = std::max(0.0, 1.0 - needed / growth);
        const int percent = static_cast<int>(speeds[i] * keptShare);
        speeds[i] = percent < MinimumSpeedPercent ? 0 : percent;
        needed -= growth;
    }
}

// Sets the speeds of the backfilling tasks to 0.
void stopAll(const ServingSample &serving, const std::vector<BackfillSample> &backfilling, std::vector<int> &speeds)
{
    for (std::size_t i = 0; i < backfilling.size(); ++i) {
        speeds[i] = isSpared(backfilling[i], serving) ? speeds[i] : 0;
    }
}

}

bool isOverTargetForLong(const ServingSample &serving)
{
    return serving.overTargetMilliseconds >= MaximumOverTargetMilliseconds;
}

double pendingLoadGrowth(
    const BackfillInterferenceModel &model, ImageId serving, const std::vector<BackfillSample> &backfilling)
{
    double sum = 0.0;
    for (const BackfillSample &task : backfilling) {
        const double missing = task.isSettled ? 0.0 : task.demand * task.percent / FullSpeedPercent - task.use;
        sum += model.coefficient(serving, task.image) * std::max(0.0, missing);
    }
    return sum;
}

std::vector<int> nextSpeeds(const BackfillInterferenceModel &model, const std::vector<ServingSample> &serving,
    const std::vector<BackfillSample> &backfilling)
{
    std::vector<int> speeds;
    speeds.reserve(backfilling.size());
    for (const BackfillSample &task : backfilling) {
        speeds.push_back(task.percent);
    }
    bool nearLimit = false;
    for (const ServingSample &sample : serving) {
        if (isOverTargetForLong(sample)) {
            nearLimit = true;
            stopAll(sample, backfilling, speeds);
            continue;
        }
        if (sample.load > sample.limit - ThrottleMargin) {
            nearLimit = true;
            reduceSpeeds(model, sample, backfilling, speeds);
        }
    }
    if (nearLimit) {
        return speeds;
    }
    std::vector<double> allowedGrowth;
    allowedGrowth.reserve(serving.size());
    for (const ServingSample &sample : serving) {
        allowedGrowth.push_back(
            sample.limit - RestoreMargin - sample.load - pendingLoadGrowth(model, sample.image, backfilling));
    }
    for (std::size_t i = 0; i < backfilling.size(); ++i) {
        const double missing = backfilling[i].demand * (FullSpeedPercent - speeds[i]) / FullSpeedPercent;
        if (missing <= 0.0) {
            continue;
        }
        double share = 1.0;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double growth = model.coefficient(serving[s].image, backfilling[i].image) * missing;
            if (growth > MinimumLoadGrowth) {
                share = std::min(share, std::max(0.0, allowedGrowth[s]) / growth);
            }
        }
        const int percent = speeds[i] + static_cast<int>((FullSpeedPercent - speeds[i]) * share);
        if (percent < MinimumSpeedPercent) {
            continue;
        }
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double addedUse = backfilling[i].demand * (percent - speeds[i]) / FullSpeedPercent;
            allowedGrowth[s] -= model.coefficient(serving[s].image, backfilling[i].image) * addedUse;
        }
        speeds[i] = percent;
    }
    return speeds;
}

double predictedExcessLoad(const BackfillInterferenceModel &model, const std::vector<ServingSample> &serving,
    const std::vector<BackfillSample> &backfilling, ImageId image, double demand)
{
    double maximum = -1.0;
    for (const ServingSample &sample : serving) {
        if (isOverTargetForLong(sample)) {
            return MaximumExcessLoad;
        }
        const double growth = model.coefficient(sample.image, image) * demand;
        if (growth < MinimumLoadGrowth) {
            continue;
        }
        const double load = sample.load + pendingLoadGrowth(model, sample.image, backfilling) + growth;
        maximum = std::max(maximum, load - sample.limit);
    }
    return maximum;
}

}
