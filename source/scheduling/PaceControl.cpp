#include "scheduling/PaceControl.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Wagtail
{

namespace
{

constexpr int FullSpeed = 100;
constexpr int LeastUsefulPercent = 15;
// Distances below the limit, in load. Reports lag by half a second in which a load can grow by about 0.05.
constexpr double CutMargin = 0.05;
constexpr double CutTargetMargin = 0.12;
constexpr double RestoreMargin = 0.15;
// A serving task that stays over its target this long frees its worker of all backfilling work, whatever the model
// says: half of the time after which the disturbance counts as harm.
constexpr std::int64_t PatienceMilliseconds = 1'500;
// Growth of load below this is harmless, however loaded the serving task is by itself.
constexpr double LeastPressure = 0.015;

// Returns the growth of load that is still to come from tasks that have not reached their speed yet.
double pendingPressure(
    const BackfillInterferenceModel &model, ImageId serving, const std::vector<BackfillReading> &backfilling)
{
    double sum = 0.0;
    for (const BackfillReading &task : backfilling) {
        const double missing = task.demand * task.percent / FullSpeed - task.use;
        sum += model.coefficient(serving, task.image) * std::max(0.0, missing);
    }
    return sum;
}

// Slows down the tasks that press hardest on the serving task until the needed relief is reached.
void relieve(const BackfillInterferenceModel &model, const ServingReading &serving,
    const std::vector<BackfillReading> &backfilling, std::vector<int> &paces)
{
    std::vector<std::size_t> order(backfilling.size());
    std::iota(order.begin(), order.end(), 0);
    const auto pressureOf = [&](std::size_t i) {
        return model.coefficient(serving.image, backfilling[i].image) * backfilling[i].demand * paces[i] / FullSpeed;
    };
    std::sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return pressureOf(left) > pressureOf(right); });
    double needed = serving.load - (serving.limit - CutTargetMargin);
    for (const std::size_t i : order) {
        const double pressure = pressureOf(i);
        if (needed <= 0.0 || pressure < LeastPressure) {
            break;
        }
        const double kept = std::max(0.0, 1.0 - needed / pressure);
        const int percent = static_cast<int>(paces[i] * kept);
        paces[i] = percent < LeastUsefulPercent ? 0 : percent;
        needed -= pressure;
    }
}

}

std::vector<int> nextPaces(const BackfillInterferenceModel &model, const std::vector<ServingReading> &serving,
    const std::vector<BackfillReading> &backfilling)
{
    std::vector<int> paces;
    paces.reserve(backfilling.size());
    for (const BackfillReading &task : backfilling) {
        paces.push_back(task.percent);
    }
    bool endangered = false;
    for (const ServingReading &reading : serving) {
        if (reading.overForMilliseconds >= PatienceMilliseconds) {
            return std::vector<int>(backfilling.size(), 0);
        }
        if (reading.load > reading.limit - CutMargin) {
            endangered = true;
            relieve(model, reading, backfilling, paces);
        }
    }
    if (endangered) {
        return paces;
    }
    std::vector<double> room;
    room.reserve(serving.size());
    for (const ServingReading &reading : serving) {
        room.push_back(
            reading.limit - RestoreMargin - reading.load - pendingPressure(model, reading.image, backfilling));
    }
    for (std::size_t i = 0; i < backfilling.size(); ++i) {
        const double missing = backfilling[i].demand * (FullSpeed - paces[i]) / FullSpeed;
        if (missing <= 0.0) {
            continue;
        }
        double share = 1.0;
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double pressure = model.coefficient(serving[s].image, backfilling[i].image) * missing;
            if (pressure > LeastPressure) {
                share = std::min(share, std::max(0.0, room[s]) / pressure);
            }
        }
        const int percent = paces[i] + static_cast<int>((FullSpeed - paces[i]) * share);
        if (percent < LeastUsefulPercent) {
            continue;
        }
        for (std::size_t s = 0; s < serving.size(); ++s) {
            const double growth = backfilling[i].demand * (percent - paces[i]) / FullSpeed;
            room[s] -= model.coefficient(serving[s].image, backfilling[i].image) * growth;
        }
        paces[i] = percent;
    }
    return paces;
}

double excessWith(const BackfillInterferenceModel &model, const std::vector<ServingReading> &serving,
    const std::vector<BackfillReading> &backfilling, ImageId image, double demand)
{
    double most = -1.0;
    for (const ServingReading &reading : serving) {
        const double growth = model.coefficient(reading.image, image) * demand;
        if (growth < LeastPressure) {
            continue;
        }
        const double load = reading.load + pendingPressure(model, reading.image, backfilling) + growth;
        most = std::max(most, load - reading.limit);
    }
    return most;
}

}
