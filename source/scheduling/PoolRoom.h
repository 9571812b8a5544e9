#pragma once

#include "base/JsonReader.h"
#include "base/Resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// The capacity of one pool in one partition that is left for new tasks. Processors are in thousandths of a core.
struct PoolRoom
{
    // Sum over all workers that may get new tasks.
    std::int64_t capacity = 0;
    // The processors that long-running tasks leave free, after subtracting those that still wait for a worker.
    std::int64_t freeBesideLasting = 0;
    // The part of it in gaps on single workers that are large enough for a typical batch task.
    std::int64_t freeForPassing = 0;
    // The processors that batch tasks are expected to need.
    std::int64_t passing = 0;
    // The resources that long-running tasks leave free on the worker with the most free processors.
    Resources largestGap;
    // The largest capacity of any worker, for each kind of resource.
    Resources largestWorker;
    std::set<std::string> labels;
    std::set<std::string> racks;

    bool operator==(const PoolRoom &) const = default;

    // Subtracts the processors of long-running tasks that are about to be added.
    void takeForLasting(std::int64_t milliCores);
};

// Headroom by the name of the pool.
using PoolRooms = std::map<std::string, PoolRoom>;

[[nodiscard]] Json describe(const PoolRooms &rooms);
[[nodiscard]] PoolRooms parsePoolRooms(const Json &document);

}
