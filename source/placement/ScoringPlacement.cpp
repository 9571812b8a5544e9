#include "placement/ScoringPlacement.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr double InterferenceWeight = 4.0;
constexpr double RackWeight = 0.5;
constexpr double CheckpointBonus = 0.2;

// The share of a capacity that is still free, or one where there is no such capacity.
double share(std::int64_t room, std::int64_t capacity)
{
    return capacity <= 0 ? 1.0 : static_cast<double>(room) / static_cast<double>(capacity);
}

}

ScoringPlacement::ScoringPlacement(InterferencePrediction predict) : m_predict(std::move(predict))
{
}

double ScoringPlacement::score(const FleetWorker &worker, const PlacementQuery &query) const
{
    const Resources &capacity = worker.description.capacity;
    const Resources room = worker.freeResources() - query.demand.resources;
    const double processors = share(room.milliCores, capacity.milliCores);
    const double memory = share(room.memoryMegabytes, capacity.memoryMegabytes);
    const double slots = query.demand.slots == 0 ? 1.0 : share(worker.freeSlots(), worker.description.slots);
    double score = std::min({processors, memory, slots});
    // Work that needs no accelerator leaves the workers that have them to the work that does.
    if (query.demand.resources.accelerators == 0 && capacity.accelerators > 0) {
        score -= 1.0;
    }
    score -= InterferenceWeight * m_predict(query.demand.profile, worker);
    const auto rack = query.rackLoad.find(worker.description.rack);
    if (rack != query.rackLoad.end()) {
        score -= RackWeight * static_cast<double>(rack->second);
    }
    if (worker.description.name == query.checkpointWorker) {
        score += CheckpointBonus;
    }
    return score;
}

std::optional<std::string> ScoringPlacement::choose(const Fleet &fleet, const PlacementQuery &query)
{
    const FleetWorker *best = nullptr;
    double bestScore = 0;
    for (const auto &[name, worker] : fleet.workers()) {
        if (!isAllowed(fleet, worker, query)) {
            continue;
        }
        const double candidate = score(worker, query);
        if (best == nullptr || candidate > bestScore) {
            best = &worker;
            bestScore = candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->description.name);
}

}
