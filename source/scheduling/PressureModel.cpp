#include "scheduling/PressureModel.h"

#include <algorithm>
#include <cmath>

namespace Wagtail
{

namespace
{

// The guess for a pair that was not seen: between harmless pairs and the heavy ones.
constexpr double UnknownCoefficient = 0.6;
constexpr double MostCoefficient = 4.0;
// A serving task is never quite idle, so its undisturbed base lies below the lowest tail that was seen.
constexpr double BaseShareOfLowest = 0.8;
constexpr double MostLoad = 0.98;
constexpr double LeastTail = 1.0;
// Step of the normalised least-mean-squares filter: large at first, then small against the noise of load swings.
constexpr double FirstStep = 0.8;
constexpr double LeastStep = 0.05;
// Changes of use below this share of a worker drown in the swing of the serving task's own load.
constexpr double LeastChange = 0.04;

}

double PressureModel::baseOf(const std::string &image) const
{
    const auto found = m_lowestTails.find(image);
    return found == m_lowestTails.end() ? LeastTail : std::max(LeastTail, found->second * BaseShareOfLowest);
}

double PressureModel::observeTail(const std::string &image, std::int64_t tailMilliseconds)
{
    const double tail = std::max(LeastTail, static_cast<double>(tailMilliseconds));
    const auto [entry, added] = m_lowestTails.emplace(image, tail);
    entry->second = std::min(entry->second, tail);
    return loadAt(image, tail);
}

double PressureModel::loadAt(const std::string &image, double tailMilliseconds) const
{
    const double load = 1.0 - baseOf(image) / std::max(LeastTail, tailMilliseconds);
    return std::clamp(load, 0.0, MostLoad);
}

double PressureModel::coefficient(const std::string &serving, const std::string &backfilling) const
{
    const auto found = m_pairs.find({serving, backfilling});
    return found == m_pairs.end() ? UnknownCoefficient : found->second.coefficient;
}

double PressureModel::pressure(const std::string &serving, const BackfillUse &use) const
{
    double sum = 0.0;
    for (const auto &[image, share] : use) {
        sum += coefficient(serving, image) * share;
    }
    return sum;
}

Json PressureModel::describe() const
{
    Json pairs = Json::array();
    for (const auto &[images, pair] : m_pairs) {
        pairs.push_back({{"serving", images.first}, {"backfilling", images.second}, {"coefficient", pair.coefficient},
            {"observations", pair.observations}});
    }
    return {{"lowest_tails_ms", m_lowestTails}, {"pairs", std::move(pairs)}};
}

void PressureModel::restore(const Json &document)
{
    for (const auto &[image, tail] : memberOr(document, "lowest_tails_ms", std::map<std::string, double>())) {
        const auto [entry, added] = m_lowestTails.emplace(image, tail);
        entry->second = std::min(entry->second, tail);
    }
    for (const Json &pair : memberOr(document, "pairs", Json::array())) {
        const std::string serving = memberOr(pair, "serving", std::string());
        const std::string backfilling = memberOr(pair, "backfilling", std::string());
        const double coefficient = memberOr(pair, "coefficient", UnknownCoefficient);
        const int observations = memberOr(pair, "observations", 0);
        if (serving.empty() || backfilling.empty()) {
            continue;
        }
        m_pairs.emplace(
            std::pair(serving, backfilling), Pair {std::clamp(coefficient, 0.0, MostCoefficient), observations});
    }
}

void PressureModel::learn(const std::string &serving, const BackfillUse &changeOfUse, double changeOfLoad)
{
    double power = 0.0;
    for (const auto &[image, share] : changeOfUse) {
        power += share * share;
    }
    if (power < LeastChange * LeastChange) {
        return;
    }
    const double error = changeOfLoad - pressure(serving, changeOfUse);
    for (const auto &[image, share] : changeOfUse) {
        Pair &pair = m_pairs.emplace(std::pair(serving, image), Pair {UnknownCoefficient, 0}).first->second;
        if (std::abs(share) < LeastChange / 2) {
            continue;
        }
        const double step = std::max(LeastStep, FirstStep / (1.0 + pair.observations / 2.0));
        pair.coefficient = std::clamp(pair.coefficient + step * error * share / power, 0.0, MostCoefficient);
        ++pair.observations;
    }
}

}
