#include "scheduling/PoolHeadroom.h"

#include "workers/WorkerCodec.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// The largest amount that is read. The sum over all partitions stays far within 64 bits.
constexpr std::int64_t MaximumHeadroom = 1'000'000'000'000'000;

std::int64_t amountOf(const Json &item, const char *name)
{
    return std::clamp(memberOr(item, name, std::int64_t {0}), -MaximumHeadroom, MaximumHeadroom);
}

Resources resourcesFrom(const Json &document)
{
    const Resources largest {MaximumHeadroom, MaximumHeadroom, MaximumHeadroom};
    const Resources resources = parseResources(document);
    const bool isPlausible = resources.fitsInto(largest) && (Resources {} - largest).fitsInto(resources);
    return isPlausible ? resources : Resources {};
}

// The most tasks that are counted on one worker.
constexpr std::int64_t MostTasksOfWorker = 1'000'000;
// The most workers that are read of one capacity. The product with the tasks of one stays far within 64 bits.
constexpr std::int64_t MostWorkers = 1'000'000;

// Returns how many tasks of the demand fit into the capacity, at most the limit if it is not 0.
std::int64_t timesFitting(const Resources &demand, const Resources &capacity, int limit)
{
    std::int64_t times = limit == 0 ? MostTasksOfWorker : limit;
    const auto bound = [&times](std::int64_t needed, std::int64_t available) {
        times = needed > 0 ? std::min(times, std::max<std::int64_t>(0, available) / needed) : times;
    };
    bound(demand.milliCores, capacity.milliCores);
    bound(demand.memoryMegabytes, capacity.memoryMegabytes);
    bound(demand.accelerators, capacity.accelerators);
    return times;
}

Resources resourcesOf(const Json &item, const char *name)
{
    return resourcesFrom(memberOr(item, name, Json::object()));
}

}

void PoolHeadroom::addGap(const Resources &gap)
{
    const auto place = std::upper_bound(gaps.begin(), gaps.end(), gap,
        [](const Resources &left, const Resources &right) { return left.milliCores > right.milliCores; });
    gaps.insert(place, gap);
    if (gaps.size() <= MostGaps) {
        return;
    }
    // One that fits into another gap shows least.
    const auto superfluous = std::find_if(gaps.rbegin(), gaps.rend() - 1, [this](const Resources &candidate) {
        return std::any_of(gaps.begin(), gaps.end(),
            [&candidate](const Resources &other) { return &other != &candidate && candidate.fitsInto(other); });
    });
    gaps.erase(superfluous == gaps.rend() - 1 ? gaps.end() - 1 : superfluous.base() - 1);
}

void PoolHeadroom::addWorker(const Resources &capacityOfWorker)
{
    CapacityClass &same = capacities[capacityOfWorker.milliCores];
    same.capacity = same.capacity.maximum(capacityOfWorker);
    ++same.workers;
    if (capacities.size() <= MostCapacities) {
        return;
    }
    // Joins the two classes that differ least.
    auto closest = std::next(capacities.begin());
    for (auto entry = closest; entry != capacities.end(); ++entry) {
        if (entry->first - std::prev(entry)->first < closest->first - std::prev(closest)->first) {
            closest = entry;
        }
    }
    const auto smaller = std::prev(closest);
    closest->second.capacity = closest->second.capacity.maximum(smaller->second.capacity);
    closest->second.workers += smaller->second.workers;
    capacities.erase(smaller);
}

std::optional<std::int64_t> PoolHeadroom::placesFor(const Resources &demand, int perWorkerLimit) const
{
    if (capacities.empty()) {
        return std::nullopt;
    }
    std::int64_t places = 0;
    for (const auto &[milliCores, group] : capacities) {
        places += group.workers * timesFitting(demand, group.capacity, perWorkerLimit);
    }
    return places;
}

void PoolHeadroom::reserveForLongRunning(std::int64_t milliCores)
{
    freeBesideLongRunning -= milliCores;
    freeForBatch -= milliCores;
}

Json describe(const PoolHeadrooms &headrooms)
{
    Json document = Json::object();
    for (const auto &[pool, headroom] : headrooms) {
        Json gaps = Json::array();
        for (const Resources &gap : headroom.gaps) {
            gaps.push_back(describe(gap));
        }
        Json capacities = Json::array();
        for (const auto &[milliCores, group] : headroom.capacities) {
            Json entry = describe(group.capacity);
            entry["workers"] = group.workers;
            capacities.push_back(std::move(entry));
        }
        document[pool] = {{"capacity", headroom.capacity}, {"free_beside_lasting", headroom.freeBesideLongRunning},
            {"free_for_passing", headroom.freeForBatch}, {"passing", headroom.batchDemand},
            {"largest_gap", describe(headroom.largestGap)}, {"gaps", std::move(gaps)},
            {"largest_worker", describe(headroom.largestWorker)}, {"labels", headroom.labels},
            {"racks", headroom.racks}, {"largest_free", describe(headroom.largestFree)},
            {"capacities", std::move(capacities)}};
    }
    return document;
}

PoolHeadrooms parsePoolHeadrooms(const Json &document)
{
    PoolHeadrooms headrooms;
    if (!document.is_object()) {
        return headrooms;
    }
    for (const auto &[pool, item] : document.items()) {
        PoolHeadroom &headroom = headrooms[pool];
        headroom.capacity = amountOf(item, "capacity");
        headroom.freeBesideLongRunning = amountOf(item, "free_beside_lasting");
        headroom.freeForBatch = amountOf(item, "free_for_passing");
        headroom.batchDemand = amountOf(item, "passing");
        headroom.largestGap = resourcesOf(item, "largest_gap");
        for (const Json &gap : memberOr(item, "gaps", Json::array())) {
            headroom.addGap(resourcesFrom(gap));
        }
        headroom.largestWorker = resourcesOf(item, "largest_worker");
        headroom.largestFree = resourcesOf(item, "largest_free");
        for (const Json &entry : memberOr(item, "capacities", Json::array())) {
            const Resources capacity = resourcesFrom(entry);
            const auto workers = memberOr(entry, "workers", std::int64_t {0});
            if (headroom.capacities.size() < PoolHeadroom::MostCapacities) {
                headroom.capacities[capacity.milliCores]
                    = {capacity, std::clamp<std::int64_t>(workers, 0, MostWorkers)};
            }
        }
        headroom.labels = memberOr(item, "labels", headroom.labels);
        headroom.racks = memberOr(item, "racks", headroom.racks);
    }
    return headrooms;
}

}
