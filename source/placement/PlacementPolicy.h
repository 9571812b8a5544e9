#pragma once

#include "capacity/Fleet.h"

#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// A request for a worker.
struct PlacementQuery
{
    Demand demand;
    // Number of runs of the same kind per rack; placement spreads them over racks.
    std::map<std::string, std::int64_t> rackLoad;
    // Workers that must not be chosen, for instance because the task failed there.
    std::set<std::string> excluded;
    // The worker that holds the task's checkpoint, or empty.
    std::string checkpointWorker;
};

// Chooses a worker from a snapshot of the fleet. The choice depends on its arguments only.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;
    virtual ~PlacementPolicy() = default;

    // Returns an open worker with enough free capacity for the demand, or nothing.
    [[nodiscard]] virtual std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) = 0;

protected:
    // Returns whether the worker is open, has enough free capacity and is not excluded.
    [[nodiscard]] static bool isAllowed(const Fleet &fleet, const FleetWorker &worker, const PlacementQuery &query);
};

}
