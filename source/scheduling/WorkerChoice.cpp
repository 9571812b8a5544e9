#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <limits>

namespace Wagtail
{

namespace
{

// Costs are in units of a worker's capacity: packing costs 0 on a full worker and 1 on an empty one. Whatever disturbs
// or slows down the task itself weighs more than packing.
constexpr double AvoidedWorkerCost = 8.0;
constexpr double OtherRackCost = 4.0;
// A worker whose serving tasks all have the same image can run the backfilling images that this image tolerates.
constexpr double OtherImageCost = 1.5;
constexpr double NewImageCost = 0.3;
// A trial works for part of the time only, and may disturb.
constexpr double TrialCost = 2.0;
// Minimum distance between the load of a serving task and its limit after a backfilling task is added. The load may
// still grow by a third of its range before the backfilling task ends.
constexpr double PlacementMargin = 0.12;
// The reports of a worker list only some hundred ends at a time, so it takes no tasks while so many can't be
// acknowledged.
constexpr std::uint64_t MostHeldEnds = 200;

double share(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

bool holdsTooManyEnds(const WorkerState &worker)
{
    return !worker.unsettledStarts.isEmpty() && worker.recordedEnd > worker.acknowledgedEnd + MostHeldEnds;
}

// Returns the advisor's answer about the present incarnation of the worker, or null if it was not asked.
const PlacementPermission *adviceOn(const WorkerState &worker, const StepState &step)
{
    const auto advice = step.permissions.find(worker.listing.name);
    const bool isKnown = advice != step.permissions.end() && advice->second.incarnation == worker.incarnation;
    return isKnown ? &advice->second : nullptr;
}

// Returns the cost of placing a serving task on a worker with serving tasks of other images.
double imageMixCost(const WorkerState &worker, ImageId image)
{
    const std::size_t same = worker.servingImages.count(image);
    const std::size_t others = worker.servingImages.size() - same;
    return OtherImageCost * static_cast<double>(others) + (same > 0 ? 0.0 : NewImageCost);
}

// Returns the processors that must be unused for a backfilling task, in thousandths of a core. That of a starved job
// shares those that other backfilling tasks use.
std::int64_t neededUnused(const StepSpecification &step, const WorkerState &worker, const PlacementQuery &query)
{
    constexpr int FullSpeedPercent = 100;
    if (!query.probe) {
        return step.demand.milliCores;
    }
    const int percent = probeSpeed(worker.processorShare(step));
    return query.probe == ProbeKind::Starved ? std::numeric_limits<std::int64_t>::min()
                                             : step.demand.milliCores * percent / FullSpeedPercent;
}

// Returns the cost of placing a backfilling task beside the serving tasks of a worker, or nothing if it would disturb
// them.
std::optional<double> interferenceCost(const WorkerState &worker, const PlacementQuery &query)
{
    const ImageId image = query.step->image;
    const double demand = worker.processorShare(query.step->specification());
    if (query.probe) {
        const std::optional<double> excess = probeExcessLoad(*query.interference, worker, image, demand, *query.probe);
        const bool needsTrial = !excess && query.probe == ProbeKind::Starved;
        return needsTrial && mayTryProbe(*query.interference, worker, query.now) ? std::optional(TrialCost) : excess;
    }
    const double excess = predictedExcessLoad(*query.interference, worker.serving, worker.backfilling, image, demand);
    return excess > -PlacementMargin ? std::nullopt : std::optional(excess);
}

}

bool meetsRequirements(const WorkerState &worker, const StepSpecification &step, const std::string &pool)
{
    return worker.listing.pool == pool && step.demand.fitsInto(worker.listing.capacity)
        && (step.requiredLabel.empty() || worker.listing.labels.contains(step.requiredLabel));
}

bool isAdvised(const WorkerState &worker, const StepState &step)
{
    const PlacementPermission *advice = adviceOn(worker, step);
    return !step.occurrence->job->policy.advised || (advice != nullptr && !advice->ticket.empty());
}

bool isRefusedByAdvice(const WorkerState &worker, const StepState &step)
{
    const PlacementPermission *advice = adviceOn(worker, step);
    return step.occurrence->job->policy.advised && advice != nullptr && advice->ticket.empty();
}

bool acceptsTasks(const WorkerState &worker, Instant now)
{
    // A worker that was silent may be missing from the list that a successor reads until its restart is listed.
    return worker.listed && worker.listing.takesNewTasks() && worker.hasAnswered && !worker.isRestartListed()
        && !worker.isListingOutdated() && !worker.refusedForCapacity && !holdsTooManyEnds(worker)
        && worker.consecutiveUnanswered == 0 && worker.obsoleteRuns.isEmpty() && worker.quarantinedUntil <= now;
}

bool mayRepeatStart(const WorkerState &worker, const StepState &step, Instant now)
{
    return willLearnOfEnd(worker, step.specification(), now) && worker.listed && worker.listing.takesNewTasks()
        && !worker.isRestartListed() && !worker.isOverCapacity()
        && meetsRequirements(worker, step.specification(), step.occurrence->job->policy.pool);
}

bool willLearnOfEnd(const WorkerState &worker, const StepSpecification &step, Instant now)
{
    return step.longRunning || !worker.mayForgetEnds(now);
}

bool hasReachedPerWorkerLimit(const WorkerState &worker, const StepState &step)
{
    const int limit = step.specification().perWorkerLimit;
    if (limit == 0) {
        return false;
    }
    const auto tasksOfStep = std::count_if(
        worker.tasks.begin(), worker.tasks.end(), [&step](const TaskState *task) { return task->step == &step; });
    return tasksOfStep + worker.heldPlaces.countOf(step) >= limit;
}

bool couldTakeLater(const WorkerState &worker, const StepState &step, Instant now)
{
    return WorkerState::countedDemand(step.specification()).fitsInto(worker.freeBesideLongRunning())
        && acceptsTasks(worker, now)
        && meetsRequirements(worker, step.specification(), step.occurrence->job->policy.pool)
        && !hasReachedPerWorkerLimit(worker, step);
}

std::optional<double> placementCost(const WorkerState &worker, const PlacementQuery &query)
{
    const StepSpecification &step = query.step->specification();
    // The resources are checked first, because it is cheap and most workers are full under load.
    const bool fits = query.hasFreeResources || WorkerState::countedDemand(step).fitsInto(worker.freeResources());
    if (!fits || !acceptsTasks(worker, query.now) || !willLearnOfEnd(worker, step, query.now)
        || !meetsRequirements(worker, step, query.pool)) {
        return std::nullopt;
    }
    if (hasReachedPerWorkerLimit(worker, *query.step)) {
        return std::nullopt;
    }
    const std::int64_t capacity = worker.listing.capacity.milliCores;
    const std::int64_t unused = capacity - worker.expectedMilliCores;
    if (step.backfills && unused < neededUnused(step, worker, query)) {
        return std::nullopt;
    }
    // Backfilling tasks are spread over the unused processors, and all others are packed.
    double cost = step.backfills ? 1.0 - share(unused, capacity) : share(worker.freeResources().milliCores, capacity);
    if (step.tailTarget.count() > 0) {
        cost += imageMixCost(worker, query.step->image);
    }
    if (step.backfills) {
        const std::optional<double> interference = interferenceCost(worker, query);
        if (!interference) {
            return std::nullopt;
        }
        cost += *interference;
    }
    if (query.avoidedWorkers->contains(worker.listing.name)) {
        cost += AvoidedWorkerCost;
    }
    const std::string &rack = step.dataRack.empty() ? query.preferredRack : step.dataRack;
    if (!rack.empty() && worker.listing.rack != rack) {
        cost += OtherRackCost;
    }
    return cost;
}

}
