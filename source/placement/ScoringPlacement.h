#pragma once

#include "placement/PlacementPolicy.h"

#include <functional>

namespace Wagtail
{

// Predicts the relative slowdown of a profile next to what runs on a worker; zero means no slowdown.
using InterferencePrediction = std::function<double(const std::string &profile, const FleetWorker &worker)>;

// Chooses the worker with the best score of remaining capacity, predicted interference, rack spread and checkpoint
// locality.
class ScoringPlacement final : public PlacementPolicy
{
public:
    explicit ScoringPlacement(InterferencePrediction predict);

    [[nodiscard]] std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) override;

private:
    [[nodiscard]] double score(const FleetWorker &worker, const PlacementQuery &query) const;

    InterferencePrediction m_predictInterference;
};

}
