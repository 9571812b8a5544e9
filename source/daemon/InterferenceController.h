#pragma once

#include "interference/MitigationPolicy.h"
#include "ownership/PartitionManager.h"
#include "profiles/ProfileCatalog.h"

#include <map>
#include <string>

namespace Wagtail
{

// Trains the interference model with the latencies of urgent requests and mitigates interference: throttles batch tasks
// on workers whose urgent requests are slowed down, moves them away, or lifts the throttling again. Used on the control
// thread.
class InterferenceController
{
public:
    InterferenceController(const Clock &clock, ProfileCatalog &profiles, Timeline &timeline);

    // Records the latency of a request on a worker, in seconds, and the number of other pieces of work of each profile
    // that ran beside it.
    void observe(const std::string &worker, const std::string &profile, const RunningCounts &colocated, double seconds);

    // Returns the slowdown that one more piece of work of a profile is expected to suffer and cause on a worker; zero
    // means none.
    [[nodiscard]] double predict(const std::string &profile, const FleetWorker &worker) const;

    // Applies the mitigation steps that are due. Must be called about twice a second.
    void tick(PartitionManager &partitions);

private:
    // The smoothed slowdown of one worker's urgent requests, and the profile whose latency was observed last.
    struct WorkerSlowdown
    {
        double slowdown = 0;
        std::string victim;
        Instant observedAt;
    };

    void mitigate(PartitionController &controller, const std::string &worker, const WorkerSlowdown &observed);
    [[nodiscard]] std::vector<MitigationCandidate> candidatesOn(
        const PartitionController &controller, const std::string &worker) const;

    const Clock &m_clock;
    ProfileCatalog &m_profiles;
    Timeline &m_timeline;
    InterferenceModel m_model;
    MitigationPolicy m_policy;
    std::map<std::string, WorkerSlowdown> m_slowdowns;
};

}
