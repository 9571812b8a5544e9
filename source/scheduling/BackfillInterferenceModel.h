#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Wagtail
{

// Identifies an image within one interference model.
using ImageId = int;

// The processors that the backfilling tasks of each image use on a worker, as shares of its capacity.
using BackfillUse = std::map<ImageId, double>;

// Learns how much backfilling tasks raise the load of the serving tasks on the same worker. The load of a serving task
// is estimated as that of a queue, 1 - base / tail, where tail is its tail latency and base the tail latency of its
// image without interference.
class BackfillInterferenceModel
{
public:
    // Returns the id of an image. A new name gets a new id.
    ImageId idOf(const std::string &image);

    // Returns the load of a serving task with the given tail latency, and notes it for the lowest tail latency of the
    // image. That is the lowest one of the last one or two minutes, so that it follows what is observed: a single low
    // figure would make the load look high for good.
    double observeTail(ImageId id, std::int64_t tailMilliseconds, Instant now);

    // Returns the load of a serving task of the image at the given tail latency.
    [[nodiscard]] double loadAt(ImageId image, double tailMilliseconds) const;

    // Returns by how much the load of the serving image grows per share of a worker's capacity that the backfilling
    // image uses. Pairs that were never observed together get a cautious default.
    [[nodiscard]] double coefficient(ImageId serving, ImageId backfilling) const;

    // Returns by how much the given use raises the load of the serving image.
    [[nodiscard]] double loadGrowth(ImageId serving, const BackfillUse &use) const;

    // Returns the learned values as a document for the store.
    [[nodiscard]] Json describe() const;

    // Adds the values of a document that describe() returned. Members that can't be parsed are skipped, since they can
    // be learned again.
    void restore(const Json &document);

    // Updates the model with the change of a serving task's load from one report to the next and the change of
    // backfilling use on the same worker.
    void learn(ImageId serving, const BackfillUse &changeOfUse, double changeOfLoad);

private:
    struct Pair
    {
        double coefficient = 0.0;
        int observations = 0;
    };

    struct Image
    {
        std::string name;
        // The lowest tail latencies of the present period of observation and of the one before. A record of an earlier
        // owner counts as the period before.
        std::optional<double> lowestTail;
        std::optional<double> formerLowestTail;
        Instant periodBegan;
        // Interference with this image, by the id of the backfilling image.
        std::vector<Pair> pairs;
    };

    [[nodiscard]] static std::optional<double> lowestTailOf(const Image &image);
    [[nodiscard]] double undisturbedTail(ImageId image) const;
    Pair &pairOf(ImageId serving, ImageId backfilling);

    std::vector<Image> m_images;
    std::unordered_map<std::string, ImageId> m_ids;
};

}
