#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// The costs are shares of a worker: a full worker costs 0, an empty one 1. What disturbs or slows down the task
// itself weighs more than packing.
constexpr double AvoidedCost = 8.0;
constexpr double ForeignRackCost = 4.0;
// Workers whose serving tasks have one image suit the backfilling images that this image bears well.
constexpr double OtherImageCost = 1.5;
constexpr double EmptyWorkerCost = 0.3;
// How far below its limit a serving task's load must stay when a backfilling task comes beside it. Its own load may
// still grow by a third of its swing before the task has ended.
constexpr double PlacementMargin = 0.12;

double share(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

// Returns the cost of a serving task beside those of other images.
double mixtureCost(const WorkerState &worker, ImageId image)
{
    const std::size_t same = worker.servingImages.count(image);
    const std::size_t others = worker.servingImages.size() - same;
    return OtherImageCost * static_cast<double>(others) + (same > 0 ? 0.0 : EmptyWorkerCost);
}

}

bool couldEverHold(const WorkerState &worker, const StepSpecification &step, const std::string &pool)
{
    return worker.listing.pool == pool && step.demand.fitsInto(worker.listing.capacity)
        && (step.requiredLabel.empty() || worker.listing.labels.contains(step.requiredLabel));
}

bool isUsable(const WorkerState &worker, Instant now)
{
    return worker.listed && !worker.listing.draining && worker.contacted && !worker.full && worker.unansweredInRow == 0
        && worker.strays.empty() && worker.quarantinedUntil <= now;
}

bool hasReachedSpread(const WorkerState &worker, const StepState &step)
{
    const int limit = step.specification().perWorkerLimit;
    if (limit == 0) {
        return false;
    }
    const auto present = std::count_if(
        worker.tasks.begin(), worker.tasks.end(), [&step](const TaskState *task) { return task->step == &step; });
    return present >= limit;
}

std::optional<double> placementCost(const WorkerState &worker, const WorkerQuery &query)
{
    const StepSpecification &step = query.step->specification();
    // The cheapest check comes first: under load most workers are full.
    if (!WorkerState::countedDemand(step).fitsInto(worker.room()) || !isUsable(worker, query.now)
        || !couldEverHold(worker, step, query.pool)) {
        return std::nullopt;
    }
    if (hasReachedSpread(worker, *query.step)) {
        return std::nullopt;
    }
    const std::int64_t capacity = worker.listing.capacity.milliCores;
    const std::int64_t unused = capacity - worker.expectedUse;
    if (step.backfills && unused < step.demand.milliCores) {
        return std::nullopt;
    }
    // Backfilling tasks are spread over what is unused; all others are packed.
    double cost = step.backfills ? 1.0 - share(unused, capacity) : share(worker.room().milliCores, capacity);
    if (step.tailTarget.count() > 0) {
        cost += mixtureCost(worker, query.step->image);
    }
    if (step.backfills) {
        const double excess = excessWith(*query.pressure, worker.serving, worker.backfilling, query.step->image,
            share(step.demand.milliCores, capacity));
        if (excess > -PlacementMargin) {
            return std::nullopt;
        }
        cost += excess;
    }
    if (query.avoided->contains(worker.listing.name)) {
        cost += AvoidedCost;
    }
    const std::string &rack = step.dataRack.empty() ? query.preferredRack : step.dataRack;
    if (!rack.empty() && worker.listing.rack != rack) {
        cost += ForeignRackCost;
    }
    return cost;
}

}
