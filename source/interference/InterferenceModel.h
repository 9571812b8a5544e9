#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Wagtail
{

// How many pieces of work of each profile ran on a worker at some moment.
using RunningCounts = std::map<std::string, std::int64_t>;

// Learns, pair by pair, how much one profile slows another down, from the latencies of requests and what ran beside
// them. The estimate is a normalised least-mean-squares filter: it follows shifts of behaviour and forgets the past.
class InterferenceModel
{
public:
    // Takes in one latency of a profile, in seconds, and what ran beside it.
    void observe(const std::string &profile, const RunningCounts &beside, double seconds);

    // Returns by how much the profile is expected to be slowed beside others; zero means undisturbed.
    // Pairs of which little is known count as harmless, so that they are tried.
    [[nodiscard]] double predict(const std::string &profile, const RunningCounts &beside) const;

    // Returns the slowdown that one more piece of an aggressor is expected to cause to a profile.
    [[nodiscard]] double pairSlowdown(const std::string &profile, const std::string &aggressor) const;

    // Returns the undisturbed latency of the profile, in seconds, or zero when it is not known.
    [[nodiscard]] double baselineSeconds(const std::string &profile) const;

private:
    struct Pair
    {
        double weight = 0;
        std::int64_t observations = 0;
    };

    struct Victim
    {
        double undisturbedSeconds = 0;
        std::map<std::string, Pair> pairs;
    };

    std::map<std::string, Victim> m_victims;
};

}
