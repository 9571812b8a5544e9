#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Wagtail
{

// The number of runs of each profile on a worker at one time.
using RunningCounts = std::map<std::string, std::int64_t>;

// Estimates for each pair of profiles how much one slows the other down, from request latencies and the runs on the
// same worker. The estimator is a normalised least-mean-squares filter: it follows changes of behaviour and forgets old
// observations.
class InterferenceModel
{
public:
    // Adds one observed latency of a profile, in seconds, and the runs that shared its worker.
    void observe(const std::string &profile, const RunningCounts &colocated, double seconds);

    // Returns the expected relative slowdown of the profile next to the given runs; zero means no slowdown.
    // Pairs with few observations count as harmless, so that placement tries them.
    [[nodiscard]] double predict(const std::string &profile, const RunningCounts &colocated) const;

    // Returns the slowdown of a profile that each run of the aggressor is expected to cause.
    [[nodiscard]] double pairSlowdown(const std::string &profile, const std::string &aggressor) const;

    // Returns the latency of the profile without interference, in seconds, or zero when it is not known.
    [[nodiscard]] double baselineSeconds(const std::string &profile) const;

private:
    struct Pair
    {
        double weight = 0;
        std::int64_t observations = 0;
    };

    struct Victim
    {
        double baselineSeconds = 0;
        std::map<std::string, Pair> pairs;
    };

    std::map<std::string, Victim> m_victims;
};

}
