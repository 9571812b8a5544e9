#include "tenure/PartitionChoice.h"

#include "scheduling/JobRank.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A job goes to another partition only if the free share of that partition's capacity is larger by this much, because
// the headroom of other partitions is up to a second old.
constexpr double HomePreference = 0.02;
// Batch work arrives in bursts and leaves gaps too small to use, so it needs more headroom than its average demand.
constexpr double BatchHeadroomFactor = 1.5;
// Limits the share of the capacity that is kept from long-running jobs, however much batch work waits.
constexpr double MaxReservedBatchShare = 0.3;

// The sum of the gaps on several workers is more than the tasks that fit into them can use.
constexpr double UsableShareOfGaps = 0.5;

bool couldHold(const PoolHeadroom &headroom, const StepSpecification &step)
{
    return step.demand.fitsInto(headroom.largestWorker)
        && (step.requiredLabel.empty() || headroom.labels.contains(step.requiredLabel));
}

bool couldRun(const PoolHeadroom &headroom, const JobSpecification &job)
{
    return std::all_of(job.steps.begin(), job.steps.end(),
        [&headroom](const StepSpecification &step) { return couldHold(headroom, step); });
}

// Returns the job's work whose data is in the partition, in core-milliseconds.
std::int64_t workNearData(const PoolHeadroom &headroom, const JobSpecification &job)
{
    double work = 0.0;
    for (const StepSpecification &step : job.steps) {
        if (!step.dataRack.empty() && headroom.racks.contains(step.dataRack)) {
            work += step.count * workOfTask(step);
        }
    }
    return static_cast<std::int64_t>(work);
}

double freeShareWith(const PoolHeadroom &headroom, std::int64_t demand)
{
    return headroom.capacity <= 0
        ? -1.0
        : static_cast<double>(headroom.freeBesideLongRunning - demand) / static_cast<double>(headroom.capacity);
}

// Returns the share of a partition's capacity that batch work lacks as a negative number, or 0 if there is enough.
double shortageShare(const PoolHeadroom &headroom)
{
    const auto wanted = static_cast<std::int64_t>(BatchHeadroomFactor * static_cast<double>(headroom.batchDemand));
    return std::min(0.0, freeShareWith(headroom, wanted));
}

bool leavesHeadroomForBatch(const PoolHeadroom &headroom, std::int64_t demand)
{
    const double wanted = BatchHeadroomFactor * static_cast<double>(headroom.batchDemand);
    const double needed = std::min(wanted, MaxReservedBatchShare * static_cast<double>(headroom.capacity));
    return static_cast<double>(headroom.freeForBatch - demand) >= needed;
}

}

std::optional<DelegationChoice> chooseDelegate(const StepSpecification &step, const std::string &pool, int waiting,
    const std::string &home, const PartitionHeadrooms &headrooms)
{
    const std::int64_t demand = step.backfills ? 0 : step.demand.milliCores;
    std::optional<DelegationChoice> best;
    std::int64_t mostFree = 0;
    for (const auto &[name, pools] : headrooms) {
        const auto headroom = pools.find(pool);
        const bool possible = name != home && headroom != pools.end() && couldHold(headroom->second, step);
        if (!possible || !step.demand.fitsInto(headroom->second.largestGap)
            || headroom->second.freeBesideLongRunning <= mostFree) {
            continue;
        }
        const auto usable = static_cast<std::int64_t>(
            UsableShareOfGaps * static_cast<double>(headroom->second.freeBesideLongRunning));
        const std::int64_t fitting = demand == 0 ? waiting : std::max<std::int64_t>(1, usable / demand);
        mostFree = headroom->second.freeBesideLongRunning;
        best = DelegationChoice {name, static_cast<int>(std::min<std::int64_t>(waiting, fitting))};
    }
    return best;
}

std::int64_t longRunningDemand(const JobSpecification &job)
{
    std::int64_t demand = 0;
    for (const StepSpecification &step : job.steps) {
        if (step.longRunning && !step.backfills) {
            demand += step.count * step.demand.milliCores;
        }
    }
    return demand;
}

PartitionChoice choosePartition(const JobRecord &job, const std::string &home, const PartitionHeadrooms &headrooms)
{
    const std::int64_t demand = longRunningDemand(job.specification);
    const PoolHeadroom *best = nullptr;
    std::string bestName;
    std::pair<std::int64_t, double> bestValue;
    for (const auto &[name, pools] : headrooms) {
        const auto headroom = pools.find(job.policy.pool);
        if (headroom == pools.end() || !couldRun(headroom->second, job.specification)) {
            continue;
        }
        const double share = demand > 0 ? freeShareWith(headroom->second, demand) : shortageShare(headroom->second);
        const double preference = name == home ? HomePreference : 0.0;
        const std::pair<std::int64_t, double> value {
            workNearData(headroom->second, job.specification), share + preference};
        if (best == nullptr || value > bestValue) {
            best = &headroom->second;
            bestName = name;
            bestValue = value;
        }
    }
    if (best == nullptr) {
        return {PartitionChoice::Kind::NeverFits, {}};
    }
    if (demand > 0 && !leavesHeadroomForBatch(*best, demand)) {
        return {PartitionChoice::Kind::LeavesTooLittleForBatch, {}};
    }
    return {PartitionChoice::Kind::Accept, bestName};
}

}
