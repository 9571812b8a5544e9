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

Resources resourcesOf(const Json &item, const char *name)
{
    const Resources largest {MaximumHeadroom, MaximumHeadroom, MaximumHeadroom};
    const Resources resources = parseResources(memberOr(item, name, Json::object()));
    const bool isPlausible = resources.fitsInto(largest) && (Resources {} - largest).fitsInto(resources);
    return isPlausible ? resources : Resources {};
}

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
        document[pool] = {{"capacity", headroom.capacity}, {"free_beside_lasting", headroom.freeBesideLongRunning},
            {"free_for_passing", headroom.freeForBatch}, {"passing", headroom.batchDemand},
            {"largest_gap", describe(headroom.largestGap)}, {"largest_worker", describe(headroom.largestWorker)},
            {"labels", headroom.labels}, {"racks", headroom.racks}};
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
        headroom.largestWorker = resourcesOf(item, "largest_worker");
        headroom.labels = memberOr(item, "labels", headroom.labels);
        headroom.racks = memberOr(item, "racks", headroom.racks);
    }
    return headrooms;
}

}
