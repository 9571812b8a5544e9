#include "tenure/PartitionChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A lasting job goes to another partition when that one has more free by this share of its capacity: what is known of
// others is up to a second old.
constexpr double MoveMargin = 0.02;
// Passing work comes in bursts and leaves gaps that are too small, so it needs more room than it uses on average.
constexpr double PassingHeadroom = 1.5;
// However much passing work waits, it keeps lasting jobs out of this share of the workers at most.
constexpr double MostPassingShare = 0.3;

// Gaps on several workers add up to more than fits into them.
constexpr double UsableShareOfGaps = 0.5;

bool couldHold(const PoolHeadroom &room, const StepSpecification &step)
{
    return step.demand.fitsInto(room.largestWorker)
        && (step.requiredLabel.empty() || room.labels.contains(step.requiredLabel));
}

bool couldRun(const PoolHeadroom &room, const JobSpecification &job)
{
    return std::all_of(
        job.steps.begin(), job.steps.end(), [&room](const StepSpecification &step) { return couldHold(room, step); });
}

// Returns the work, in core-milliseconds, whose data lies in the partition.
std::int64_t workNearData(const PoolHeadroom &room, const JobSpecification &job)
{
    std::int64_t work = 0;
    for (const StepSpecification &step : job.steps) {
        if (!step.dataRack.empty() && room.racks.contains(step.dataRack)) {
            work += step.count * step.demand.milliCores * step.estimate.count() / 1'000;
        }
    }
    return work;
}

double freeShareWith(const PoolHeadroom &room, std::int64_t demand)
{
    return room.capacity <= 0
        ? -1.0
        : static_cast<double>(room.freeBesideLongRunning - demand) / static_cast<double>(room.capacity);
}

// Returns how much of a partition's capacity passing work lacks, as a negative share; 0 where there is enough.
double shortageShare(const PoolHeadroom &room)
{
    const auto wanted = static_cast<std::int64_t>(PassingHeadroom * static_cast<double>(room.batchDemand));
    return std::min(0.0, freeShareWith(room, wanted));
}

bool leavesRoomForPassingWork(const PoolHeadroom &room, std::int64_t demand)
{
    const double wanted = PassingHeadroom * static_cast<double>(room.batchDemand);
    const double needed = std::min(wanted, MostPassingShare * static_cast<double>(room.capacity));
    return static_cast<double>(room.freeForBatch - demand) >= needed;
}

}

std::optional<DelegationChoice> chooseDelegate(const StepSpecification &step, const std::string &pool, int waiting,
    const std::string &home, const PartitionRooms &rooms)
{
    const std::int64_t demand = step.backfills ? 0 : step.demand.milliCores;
    std::optional<DelegationChoice> best;
    std::int64_t mostFree = 0;
    for (const auto &[name, pools] : rooms) {
        const auto room = pools.find(pool);
        const bool possible = name != home && room != pools.end() && couldHold(room->second, step);
        if (!possible || !step.demand.fitsInto(room->second.largestGap)
            || room->second.freeBesideLongRunning <= mostFree) {
            continue;
        }
        const auto usable
            = static_cast<std::int64_t>(UsableShareOfGaps * static_cast<double>(room->second.freeBesideLongRunning));
        const std::int64_t fitting = demand == 0 ? waiting : std::max<std::int64_t>(1, usable / demand);
        mostFree = room->second.freeBesideLongRunning;
        best = DelegationChoice {name, static_cast<int>(std::min<std::int64_t>(waiting, fitting))};
    }
    return best;
}

std::int64_t lastingDemand(const JobSpecification &job)
{
    std::int64_t demand = 0;
    for (const StepSpecification &step : job.steps) {
        if (step.longRunning && !step.backfills) {
            demand += step.count * step.demand.milliCores;
        }
    }
    return demand;
}

PartitionChoice choosePartition(const JobRecord &job, const std::string &home, const PartitionRooms &rooms)
{
    const std::int64_t demand = lastingDemand(job.specification);
    const PoolHeadroom *best = nullptr;
    std::string bestName;
    std::pair<std::int64_t, double> bestValue;
    for (const auto &[name, pools] : rooms) {
        const auto room = pools.find(job.policy.pool);
        if (room == pools.end() || !couldRun(room->second, job.specification)) {
            continue;
        }
        const double share = demand > 0 ? freeShareWith(room->second, demand) : shortageShare(room->second);
        const double preference = name == home ? MoveMargin : 0.0;
        const std::pair<std::int64_t, double> value {workNearData(room->second, job.specification), share + preference};
        if (best == nullptr || value > bestValue) {
            best = &room->second;
            bestName = name;
            bestValue = value;
        }
    }
    if (best == nullptr) {
        return {PartitionChoice::Kind::NeverFits, {}};
    }
    if (demand > 0 && !leavesRoomForPassingWork(*best, demand)) {
        return {PartitionChoice::Kind::Crowded, {}};
    }
    return {PartitionChoice::Kind::Take, bestName};
}

}
