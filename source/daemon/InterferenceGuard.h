#pragma once

#include "interference/MitigationPolicy.h"
#include "ownership/PartitionManager.h"
#include "profiles/ProfileCatalog.h"

#include <map>
#include <string>

namespace Wagtail
{

// Feeds the interference model from the answers of urgent requests, and has the batch work on disturbed workers
// throttled, moved or given its full speed again. Used on the control thread.
class InterferenceGuard
{
public:
    InterferenceGuard(const Clock &clock, ProfileCatalog &profiles, Timeline &timeline);

    // Takes in one latency, in seconds, of a request on a worker.
    void observe(const std::string &worker, const std::string &profile, const RunningCounts &beside, double seconds);

    // Returns the slowdown that a profile would suffer and cause on a worker.
    [[nodiscard]] double predict(const std::string &profile, const FleetWorker &worker) const;

    // Takes the steps that are due. Call it about twice a second.
    void tick(PartitionManager &partitions);

private:
    // The slowdown of one worker's urgent work, smoothed, and the profile that suffered last.
    struct Disturbance
    {
        double slowdown = 0;
        std::string victim;
        Instant seenAt;
    };

    void relieve(PartitionController &keeper, const std::string &worker, const Disturbance &disturbance);
    [[nodiscard]] std::vector<MitigationCandidate> candidatesOn(
        const PartitionController &keeper, const std::string &worker) const;

    const Clock &m_clock;
    ProfileCatalog &m_profiles;
    Timeline &m_timeline;
    InterferenceModel m_model;
    MitigationPolicy m_policy;
    std::map<std::string, Disturbance> m_disturbances;
};

}
