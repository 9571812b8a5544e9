#include "interference/InterferenceModel.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr double LearningRate = 0.1;
// The undisturbed latency follows lower samples quickly and rises slowly, so that bursts do not become the norm.
constexpr double FallRate = 0.2;
constexpr double RiseRate = 0.002;
constexpr std::int64_t ObservationsToTrust = 8;
constexpr double LargestSlowdown = 50.0;

}

void InterferenceModel::observe(const std::string &profile, const RunningCounts &beside, double seconds)
{
    Victim &victim = m_victims[profile];
    double &floor = victim.undisturbedSeconds;
    if (floor == 0) {
        floor = seconds;
    }
    floor += (seconds < floor ? FallRate : RiseRate) * (seconds - floor);
    const double slowdown = std::clamp(seconds / std::max(floor, 1e-9) - 1.0, 0.0, LargestSlowdown);
    double expected = 0;
    double norm = 1;
    for (const auto &[aggressor, count] : beside) {
        const auto amount = static_cast<double>(count);
        expected += victim.pairs[aggressor].weight * amount;
        norm += amount * amount;
    }
    const double error = slowdown - expected;
    for (const auto &[aggressor, count] : beside) {
        Pair &known = victim.pairs[aggressor];
        known.weight = std::max(0.0, known.weight + LearningRate * error * static_cast<double>(count) / norm);
        ++known.observations;
    }
}

double InterferenceModel::predict(const std::string &profile, const RunningCounts &beside) const
{
    double slowdown = 0;
    for (const auto &[aggressor, count] : beside) {
        slowdown += pairSlowdown(profile, aggressor) * static_cast<double>(count);
    }
    return slowdown;
}

double InterferenceModel::pairSlowdown(const std::string &profile, const std::string &aggressor) const
{
    const auto victim = m_victims.find(profile);
    if (victim == m_victims.end()) {
        return 0;
    }
    const auto known = victim->second.pairs.find(aggressor);
    if (known == victim->second.pairs.end() || known->second.observations < ObservationsToTrust) {
        return 0;
    }
    return known->second.weight;
}

double InterferenceModel::baselineSeconds(const std::string &profile) const
{
    const auto victim = m_victims.find(profile);
    return victim == m_victims.end() ? 0 : victim->second.undisturbedSeconds;
}

}
