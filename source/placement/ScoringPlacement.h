#pragma once

#include "placement/PlacementPolicy.h"

#include <functional>

namespace Wagtail
{

// Predicts how much slower a profile runs beside others; zero means undisturbed.
using InterferencePrediction = std::function<double(const std::string &profile, const FleetWorker &worker)>;

// Weighs remaining room, predicted interference, spread over racks and the place of the checkpoint.
class ScoringPlacement final : public PlacementPolicy
{
public:
    explicit ScoringPlacement(InterferencePrediction predict);

    [[nodiscard]] std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) override;

private:
    [[nodiscard]] double score(const FleetWorker &worker, const PlacementQuery &query) const;

    InterferencePrediction m_predict;
};

}
