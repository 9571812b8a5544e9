#include "scheduling/PoolRoom.h"

#include "workers/WorkerCodec.h"

namespace Wagtail
{

void PoolRoom::takeForLasting(std::int64_t milliCores)
{
    freeBesideLasting -= milliCores;
    freeForPassing -= milliCores;
}

Json describe(const PoolRooms &rooms)
{
    Json document = Json::object();
    for (const auto &[pool, room] : rooms) {
        document[pool] = {{"capacity", room.capacity}, {"free_beside_lasting", room.freeBesideLasting},
            {"free_for_passing", room.freeForPassing}, {"passing", room.passing},
            {"largest_gap", describe(room.largestGap)}, {"largest_worker", describe(room.largestWorker)},
            {"labels", room.labels}, {"racks", room.racks}};
    }
    return document;
}

PoolRooms parsePoolRooms(const Json &document)
{
    PoolRooms rooms;
    if (!document.is_object()) {
        return rooms;
    }
    for (const auto &[pool, item] : document.items()) {
        PoolRoom &room = rooms[pool];
        room.capacity = memberOr(item, "capacity", room.capacity);
        room.freeBesideLasting = memberOr(item, "free_beside_lasting", room.freeBesideLasting);
        room.freeForPassing = memberOr(item, "free_for_passing", room.freeForPassing);
        room.passing = memberOr(item, "passing", room.passing);
        room.largestGap = parseResources(memberOr(item, "largest_gap", Json::object()));
        room.largestWorker = parseResources(memberOr(item, "largest_worker", Json::object()));
        room.labels = memberOr(item, "labels", room.labels);
        room.racks = memberOr(item, "racks", room.racks);
    }
    return rooms;
}

}
