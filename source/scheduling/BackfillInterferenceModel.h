#pragma once

#include "base/JsonReader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Wagtail
{

// A number for the name of an image, valid within one BackfillInterferenceModel.
using ImageId = int;

// The processors that backfilling tasks of each image use on a worker, as shares of its capacity.
using BackfillUse = std::map<ImageId, double>;

// Learns how much the load of serving tasks grows by the backfilling tasks beside them. A serving task's load is
// taken as that of a queue, 1 - base / tail, where the base is the tail that its image shows when it is undisturbed.
class BackfillInterferenceModel
{
public:
    // Returns the number of an image; a name that was not seen before gets a new one.
    ImageId idOf(const std::string &image);

    // Returns the load of a serving task by its tail latency in milliseconds, and remembers the lowest tail.
    double observeTail(ImageId image, std::int64_t tailMilliseconds);

    // Returns the load at which a tail reaches its target.
    [[nodiscard]] double loadAt(ImageId image, double tailMilliseconds) const;

    // Returns by how much the serving image's load grows for each share of a worker's capacity that the backfilling
    // image uses. Pairs that were not seen together get a cautious guess.
    [[nodiscard]] double coefficient(ImageId serving, ImageId backfilling) const;

    // Returns the growth of the serving image's load by the given use.
    [[nodiscard]] double pressure(ImageId serving, const BackfillUse &use) const;

    // Returns what the model has learned, in the form that the store keeps.
    [[nodiscard]] Json describe() const;

    // Adds what describe() wrote to a new model. Members that can't be read are left out, since they can be learned
    // again.
    void restore(const Json &document);

    // Takes how a serving task's load changed from one report to the next, and how the use beside it changed.
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
        std::optional<double> lowestTail;
        // What presses on this image, by the number of the backfilling image.
        std::vector<Pair> pairs;
    };

    [[nodiscard]] double baseOf(ImageId image) const;
    Pair &pairOf(ImageId serving, ImageId backfilling);

    std::vector<Image> m_images;
    std::unordered_map<std::string, ImageId> m_ids;
};

}
