#include "tenure/PartitionChoice.h"

#include "scheduling/JobRank.h"
#include "scheduling/WorkerState.h"

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

// A partition that has room for tasks of a step.
struct Candidate
{
    DelegationChoice choice;
    // How many more tasks it can probably place.
    std::uint64_t room = 0;

    // A partition with few places left is chosen rarely, because another owner may have taken them already.
    [[nodiscard]] std::uint64_t weight() const
    {
        return room * room;
    }
};

std::vector<Candidate> candidatesFor(const DelegationQuery &query, const PartitionHeadrooms &headrooms)
{
    constexpr std::int64_t MostRoom = 10'000;
    std::vector<Candidate> candidates;
    for (const auto &[name, pools] : headrooms) {
        const auto headroom = pools.find(query.pool);
        const bool isKnown = name != query.home && headroom != pools.end();
        if (!isKnown || query.avoided.contains(name) || !couldHold(headroom->second, query.step)
            || !query.step.demand.fitsInto(headroom->second.largestGap)
            || headroom->second.freeBesideLongRunning <= 0) {
            continue;
        }
        const auto usable = static_cast<std::int64_t>(
            UsableShareOfGaps * static_cast<double>(headroom->second.freeBesideLongRunning));
        const std::int64_t room = usable / std::max<std::int64_t>(1, query.step.demand.milliCores);
        candidates.push_back({{name, 0}, static_cast<std::uint64_t>(std::clamp<std::int64_t>(room, 1, MostRoom))});
    }
    return candidates;
}

// Returns the next number of a sequence that looks random (SplitMix64).
std::uint64_t mix(std::uint64_t state)
{
    constexpr std::uint64_t Increment = 0x9e3779b97f4a7c15;
    constexpr std::uint64_t FirstFactor = 0xbf58476d1ce4e5b9;
    constexpr std::uint64_t SecondFactor = 0x94d049bb133111eb;
    std::uint64_t mixed = state + Increment;
    mixed = (mixed ^ (mixed >> 30U)) * FirstFactor;
    mixed = (mixed ^ (mixed >> 27U)) * SecondFactor;
    return mixed ^ (mixed >> 31U);
}

}

bool couldHold(const PoolHeadroom &headroom, const StepSpecification &step)
{
    const Resources demand = WorkerState::countedDemand(step);
    const bool fitsTogether
        = !step.gang || headroom.placesFor(demand, step.perWorkerLimit).value_or(step.count) >= step.count;
    return fitsTogether && step.demand.fitsInto(headroom.largestWorker)
        && (step.requiredLabel.empty() || headroom.labels.contains(step.requiredLabel));
}

std::vector<DelegationChoice> chooseDelegates(const DelegationQuery &query, const PartitionHeadrooms &headrooms)
{
    std::vector<Candidate> candidates = candidatesFor(query, headrooms);
    std::uint64_t random = query.seed;
    for (int i = 0; i < query.waiting; ++i) {
        std::uint64_t total = 0;
        for (const Candidate &candidate : candidates) {
            total += candidate.weight();
        }
        if (total == 0) {
            break;
        }
        random = mix(random);
        std::uint64_t point = random % total;
        for (Candidate &candidate : candidates) {
            if (point < candidate.weight()) {
                ++candidate.choice.count;
                candidate.room -= query.step.backfills ? 0 : 1;
                break;
            }
            point -= candidate.weight();
        }
    }
    std::vector<DelegationChoice> choices;
    for (const Candidate &candidate : candidates) {
        if (candidate.choice.count > 0) {
            choices.push_back(candidate.choice);
        }
    }
    return choices;
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
