#include "scheduling/BackfillInterferenceModel.h"

#include <algorithm>
#include <cmath>

namespace Wagtail
{

namespace
{

// Default for pairs that were never observed, between harmless and strongly interfering ones.
constexpr double UnknownCoefficient = 0.6;
constexpr double MaximumCoefficient = 4.0;
// A serving task is never quite idle, so its tail latency without load lies below the lowest one observed.
constexpr double UndisturbedShareOfLowest = 0.8;
constexpr double MaximumLoad = 0.98;
// Several times the seconds in which a serving load swings, so that a period has seen its lowest values.
constexpr Milliseconds ObservationPeriod {60'000};
constexpr double MinimumTailMilliseconds = 1.0;
// Step sizes of the normalised least-mean-squares filter: large at first to learn quickly, then small to suppress the
// noise of changing load.
constexpr double InitialStep = 0.8;
constexpr double MinimumStep = 0.05;
// Changes of use below this share of a worker can't be told from changes of the serving task's own load.
constexpr double MinimumChangeOfUse = 0.04;
// The largest number of images with which a record is read on. Each pair of them takes memory.
constexpr std::size_t MaximumRestoredImages = 1'000;
constexpr int MaximumRestoredObservations = 1'000'000;

}

ImageId BackfillInterferenceModel::idOf(const std::string &image)
{
    const auto [entry, added] = m_ids.emplace(image, static_cast<ImageId>(m_images.size()));
    if (added) {
        m_images.push_back({image, std::nullopt, std::nullopt, {}, {}});
    }
    return entry->second;
}

std::optional<double> BackfillInterferenceModel::lowestTailOf(const Image &image)
{
    if (!image.lowestTail || !image.formerLowestTail) {
        return image.lowestTail ? image.lowestTail : image.formerLowestTail;
    }
    return std::min(*image.lowestTail, *image.formerLowestTail);
}

double BackfillInterferenceModel::undisturbedTail(ImageId image) const
{
    const std::optional<double> lowest = lowestTailOf(m_images[static_cast<std::size_t>(image)]);
    return lowest ? std::max(MinimumTailMilliseconds, *lowest * UndisturbedShareOfLowest) : MinimumTailMilliseconds;
}

BackfillInterferenceModel::Pair &BackfillInterferenceModel::pairOf(ImageId serving, ImageId backfilling)
{
    std::vector<Pair> &pairs = m_images[static_cast<std::size_t>(serving)].pairs;
    const auto index = static_cast<std::size_t>(backfilling);
    if (index >= pairs.size()) {
        pairs.resize(index + 1, Pair {UnknownCoefficient, 0});
    }
    return pairs[index];
}

double BackfillInterferenceModel::observeTail(ImageId id, std::int64_t tailMilliseconds, Instant now)
{
    const double tail = std::max(MinimumTailMilliseconds, static_cast<double>(tailMilliseconds));
    Image &image = m_images[static_cast<std::size_t>(id)];
    if (!image.lowestTail) {
        image.periodBegan = now;
    } else if (now - image.periodBegan >= ObservationPeriod) {
        image.formerLowestTail = image.lowestTail;
        image.lowestTail.reset();
        image.periodBegan = now;
    }
    image.lowestTail = std::min(image.lowestTail.value_or(tail), tail);
    return loadAt(id, tail);
}

double BackfillInterferenceModel::loadAt(ImageId image, double tailMilliseconds) const
{
    const double load = 1.0 - undisturbedTail(image) / std::max(MinimumTailMilliseconds, tailMilliseconds);
    return std::clamp(load, 0.0, MaximumLoad);
}

double BackfillInterferenceModel::coefficient(ImageId serving, ImageId backfilling) const
{
    const std::vector<Pair> &pairs = m_images[static_cast<std::size_t>(serving)].pairs;
    const auto index = static_cast<std::size_t>(backfilling);
    return index < pairs.size() ? pairs[index].coefficient : UnknownCoefficient;
}

double BackfillInterferenceModel::loadGrowth(ImageId serving, const BackfillUse &use) const
{
    double sum = 0.0;
    for (const auto &[image, share] : use) {
        sum += coefficient(serving, image) * share;
    }
    return sum;
}

Json BackfillInterferenceModel::describe() const
{
    Json pairs = Json::array();
    Json tails = Json::object();
    for (const Image &serving : m_images) {
        if (const std::optional<double> lowest = lowestTailOf(serving)) {
            tails[serving.name] = *lowest;
        }
        for (std::size_t i = 0; i < serving.pairs.size(); ++i) {
            const Pair &pair = serving.pairs[i];
            if (pair.observations > 0) {
                pairs.push_back({{"serving", serving.name}, {"backfilling", m_images[i].name},
                    {"coefficient", pair.coefficient}, {"observations", pair.observations}});
            }
        }
    }
    return {{"lowest_tails_ms", std::move(tails)}, {"pairs", std::move(pairs)}};
}

void BackfillInterferenceModel::restore(const Json &document)
{
    for (const auto &[name, tail] : memberOr(document, "lowest_tails_ms", std::map<std::string, double>())) {
        if (m_images.size() >= MaximumRestoredImages) {
            break;
        }
        std::optional<double> &lowest = m_images[static_cast<std::size_t>(idOf(name))].formerLowestTail;
        lowest = std::min(lowest.value_or(tail), tail);
    }
    for (const Json &member : memberOr(document, "pairs", Json::array())) {
        const std::string serving = memberOr(member, "serving", std::string());
        const std::string backfilling = memberOr(member, "backfilling", std::string());
        const double coefficient = memberOr(member, "coefficient", UnknownCoefficient);
        const int observations = std::clamp(memberOr(member, "observations", 0), 0, MaximumRestoredObservations);
        if (serving.empty() || backfilling.empty() || m_images.size() >= MaximumRestoredImages) {
            continue;
        }
        const ImageId servingId = idOf(serving);
        Pair &pair = pairOf(servingId, idOf(backfilling));
        if (pair.observations == 0) {
            pair = {std::clamp(coefficient, 0.0, MaximumCoefficient), observations};
        }
    }
}

void BackfillInterferenceModel::learn(ImageId serving, const BackfillUse &changeOfUse, double changeOfLoad)
{
    double power = 0.0;
    for (const auto &[image, share] : changeOfUse) {
        power += share * share;
    }
    if (power < MinimumChangeOfUse * MinimumChangeOfUse) {
        return;
    }
    const double error = changeOfLoad - loadGrowth(serving, changeOfUse);
    for (const auto &[image, share] : changeOfUse) {
        if (std::abs(share) < MinimumChangeOfUse / 2) {
            continue;
        }
        Pair &pair = pairOf(serving, image);
        const double step = std::max(MinimumStep, InitialStep / (1.0 + pair.observations / 2.0));
        pair.coefficient = std::clamp(pair.coefficient + step * error * share / power, 0.0, MaximumCoefficient);
        ++pair.observations;
    }
}

}
