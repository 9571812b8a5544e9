#pragma once

#include "base/JsonReader.h"
#include "base/Resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// Workers of about the same size.
struct CapacityClass
{
    // The largest capacity of any of them, for each kind of resource.
    Resources capacity;
    std::int64_t workers = 0;

    bool operator==(const CapacityClass &) const = default;
};

// The capacity of one pool in one partition that is left for new tasks. Processors are in thousandths of a core.
struct PoolHeadroom
{
    // Sum over all workers that may get new tasks.
    std::int64_t capacity = 0;
    // The processors that long-running tasks leave free, after subtracting those that still wait for a worker.
    std::int64_t freeBesideLongRunning = 0;
    // The part of it in gaps on single workers that are large enough for a typical batch task.
    std::int64_t freeForBatch = 0;
    // The processors that batch tasks are expected to need.
    std::int64_t batchDemand = 0;
    // The resources that long-running tasks leave free on the worker with the most free processors.
    Resources largestGap;
    // The largest capacity of any worker, for each kind of resource.
    Resources largestWorker;
    std::set<std::string> labels;
    std::set<std::string> racks;
    // What long-running tasks leave free on single workers, the workers with the most free processors first. Tasks that
    // wait for a worker are not subtracted, because they may be unable to use these gaps.
    std::vector<Resources> gaps;
    static constexpr std::size_t MostGaps = 8;
    // What is free now on single workers, the largest amount of each kind of resource. Empty if it is not known.
    Resources largestFree;
    // The workers by capacity, or empty if they are not known. Workers beyond the limit count as the next larger ones.
    std::map<std::int64_t, CapacityClass> capacities;
    static constexpr std::size_t MostCapacities = 32;

    bool operator==(const PoolHeadroom &) const = default;

    // Counts a worker.
    void addWorker(const Resources &capacityOfWorker);

    // Returns how many tasks of the demand fit on all workers together, at most the given number on one if it is not 0.
    // Returns nothing if the workers are not known.
    [[nodiscard]] std::optional<std::int64_t> placesFor(const Resources &demand, int perWorkerLimit) const;

    // Adds a gap, and drops one if there are too many, if possible one that fits into another.
    void addGap(const Resources &gap);

    // Subtracts the processors of long-running tasks that are about to be added.
    void reserveForLongRunning(std::int64_t milliCores);
};

// Headroom by the name of the pool.
using PoolHeadrooms = std::map<std::string, PoolHeadroom>;

[[nodiscard]] Json describe(const PoolHeadrooms &headrooms);
[[nodiscard]] PoolHeadrooms parsePoolHeadrooms(const Json &document);

}
