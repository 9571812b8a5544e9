#include "scheduling/PoolHeadroom.h"

#include "workers/WorkerCodec.h"

namespace Wagtail
{

void PoolHeadroom::reserveForLongRunning(std::int64_t milliCores)
{
    freeBesideLongRunning -= milliCores;
    freeForBatch -= milliCores;
}

Json describe(const PoolHeadrooms &rooms)
{
    Json document = Json::object();
    for (const auto &[pool, room] : rooms) {
        document[pool] = {{"capacity", room.capacity}, {"free_beside_lasting", room.freeBesideLongRunning},
            {"free_for_passing", room.freeForBatch}, {"passing", room.batchDemand},
            {"largest_gap", describe(room.largestGap)}, {"largest_worker", describe(room.largestWorker)},
            {"labels", room.labels}, {"racks", room.racks}};
    }
    return document;
}

PoolHeadrooms parsePoolHeadrooms(const Json &document)
{
    PoolHeadrooms rooms;
    if (!document.is_object()) {
        return rooms;
    }
    for (const auto &[pool, item] : document.items()) {
        PoolHeadroom &room = rooms[pool];
        room.capacity = memberOr(item, "capacity", room.capacity);
        room.freeBesideLongRunning = memberOr(item, "free_beside_lasting", room.freeBesideLongRunning);
        room.freeForBatch = memberOr(item, "free_for_passing", room.freeForBatch);
        room.batchDemand = memberOr(item, "passing", room.batchDemand);
        room.largestGap = parseResources(memberOr(item, "largest_gap", Json::object()));
        room.largestWorker = parseResources(memberOr(item, "largest_worker", Json::object()));
        room.labels = memberOr(item, "labels", room.labels);
        room.racks = memberOr(item, "racks", room.racks);
    }
    return rooms;
}

}
