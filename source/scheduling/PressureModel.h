#pragma once

#include "base/JsonReader.h"

#include <cstdint>
#include <map>
#include <string>

namespace Wagtail
{

// The processors that backfilling tasks of each image use on a worker, as shares of its capacity.
using BackfillUse = std::map<std::string, double>;

// Learns how much the load of serving tasks grows by the backfilling tasks beside them. A serving task's load is
// taken as that of a queue, 1 - base / tail, where the base is the tail that its image shows when it is undisturbed.
class PressureModel
{
public:
    // Returns the load of a serving task by its tail latency in milliseconds, and remembers the lowest tail.
    double observeTail(const std::string &image, std::int64_t tailMilliseconds);

    // Returns the load at which a tail reaches its target.
    [[nodiscard]] double loadAt(const std::string &image, double tailMilliseconds) const;

    // Returns by how much the serving image's load grows for each share of a worker's capacity that the backfilling
    // image uses. Pairs that were not seen together get a cautious guess.
    [[nodiscard]] double coefficient(const std::string &serving, const std::string &backfilling) const;

    // Returns the growth of the serving image's load by the given use.
    [[nodiscard]] double pressure(const std::string &serving, const BackfillUse &use) const;

    // Returns what the model has learned, in the form that the store keeps.
    [[nodiscard]] Json describe() const;

    // Adds what describe() wrote to a new model. Members that can't be read are left out, since they can be learned
    // again.
    void restore(const Json &document);

    // Takes how a serving task's load changed from one report to the next, and how the use beside it changed.
    void learn(const std::string &serving, const BackfillUse &changeOfUse, double changeOfLoad);

private:
    struct Pair
    {
        double coefficient = 0.0;
        int observations = 0;
    };

    [[nodiscard]] double baseOf(const std::string &image) const;

    std::map<std::string, double> m_lowestTails;
    std::map<std::pair<std::string, std::string>, Pair> m_pairs;
};

}
