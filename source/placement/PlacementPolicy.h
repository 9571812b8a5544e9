#pragma once

#include "capacity/Fleet.h"

#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// Work that looks for a worker.
struct PlacementQuery
{
    Demand demand;
    // Racks on which work of the same kind already stands, with how much.
    std::map<std::string, std::int64_t> rackLoad;
    // Workers that must not be chosen, for instance because the work failed there.
    std::set<std::string> excluded;
    // The worker that holds the work's checkpoint, or empty.
    std::string checkpointWorker;
};

// Chooses a worker from a snapshot of the fleet; the same inputs give the same choice.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy &operator=(const PlacementPolicy &) = delete;
    virtual ~PlacementPolicy() = default;

    // Returns an open worker with room for the demand, or nothing.
    [[nodiscard]] virtual std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) = 0;

protected:
    // Returns whether the hard limits allow the worker.
    [[nodiscard]] static bool isAllowed(const Fleet &fleet, const FleetWorker &worker, const PlacementQuery &query);
};

}
