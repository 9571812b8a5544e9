#pragma once

#include "base/JsonReader.h"
#include "base/Resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// What the workers of one pool in one partition can take. Processors are in thousandths of a core.
struct PoolHeadroom
{
    // Over all workers that may get new tasks.
    std::int64_t capacity = 0;
    // What lasting tasks leave, those that still wait included.
    std::int64_t freeBesideLongRunning = 0;
    // The part of it that lies in gaps large enough for a typical task that ends by itself.
    std::int64_t freeForBatch = 0;
    // What tasks that end by themselves are expected to need.
    std::int64_t batchDemand = 0;
    // The largest room that lasting tasks leave on one worker.
    Resources largestGap;
    // The largest worker by each kind of resource.
    Resources largestWorker;
    std::set<std::string> labels;
    std::set<std::string> racks;

    bool operator==(const PoolHeadroom &) const = default;

    // Counts lasting tasks that take up the given processors.
    void reserveForLongRunning(std::int64_t milliCores);
};

// By the name of the pool.
using PoolHeadrooms = std::map<std::string, PoolHeadroom>;

[[nodiscard]] Json describe(const PoolHeadrooms &rooms);
[[nodiscard]] PoolHeadrooms parsePoolHeadrooms(const Json &document);

}
