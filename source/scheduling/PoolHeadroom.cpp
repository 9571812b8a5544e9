#include "scheduling/PoolHeadroom.h"

#include "workers/WorkerCodec.h"

namespace Wagtail
{

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
        headroom.capacity = memberOr(item, "capacity", headroom.capacity);
        headroom.freeBesideLongRunning = memberOr(item, "free_beside_lasting", headroom.freeBesideLongRunning);
        headroom.freeForBatch = memberOr(item, "free_for_passing", headroom.freeForBatch);
        headroom.batchDemand = memberOr(item, "passing", headroom.batchDemand);
        headroom.largestGap = parseResources(memberOr(item, "largest_gap", Json::object()));
        headroom.largestWorker = parseResources(memberOr(item, "largest_worker", Json::object()));
        headroom.labels = memberOr(item, "labels", headroom.labels);
        headroom.racks = memberOr(item, "racks", headroom.racks);
    }
    return headrooms;
}

}
