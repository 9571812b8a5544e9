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
        document[pool] = {{"capacity", headroom.capacity}, {"free_beside_lasting", headroom.freeBesideLongRunning},
            {"free_for_passing", headroom.freeForBatch}, {"passing", headroom.batchDemand},
            {"largest_gap", describe(headroom.largestGap)}, {"gaps", std::move(gaps)},
            {"largest_worker", describe(headroom.largestWorker)}, {"labels", headroom.labels},
            {"racks", headroom.racks}};
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
        headroom.labels = memberOr(item, "labels", headroom.labels);
        headroom.racks = memberOr(item, "racks", headroom.racks);
    }
    return headrooms;
}

}
