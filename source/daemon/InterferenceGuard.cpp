#include "daemon/InterferenceGuard.h"

namespace Wagtail
{

namespace
{

constexpr double Smoothing = 0.1;
constexpr int ThrottledPercent = 40;
constexpr int FullPercent = 100;
constexpr Milliseconds SilenceMeansCalm {5'000};
// A pair whose harm is smaller than this does not outweigh the spread of load.
constexpr double NegligibleHarm = 0.05;

}

InterferenceGuard::InterferenceGuard(const Clock &clock, ProfileCatalog &profiles, Timeline &timeline)
    : m_clock(clock), m_profiles(profiles), m_timeline(timeline), m_policy(MitigationPolicy::Limits())
{
}

void InterferenceGuard::observe(
    const std::string &worker, const std::string &profile, const RunningCounts &beside, double seconds)
{
    m_model.observe(profile, beside, seconds);
    const double slowdown = seconds / std::max(m_model.baselineSeconds(profile), 1e-9) - 1.0;
    Disturbance &disturbance = m_disturbances[worker];
    disturbance.slowdown += Smoothing * (slowdown - disturbance.slowdown);
    disturbance.victim = profile;
    disturbance.seenAt = m_clock.now();
}

double InterferenceGuard::predict(const std::string &profile, const FleetWorker &worker) const
{
    double harm = 0;
    for (const auto &[other, count] : worker.runningByProfile) {
        const auto amount = static_cast<double>(count);
        harm += (m_model.pairSlowdown(profile, other) + m_model.pairSlowdown(other, profile)) * amount;
    }
    return harm < NegligibleHarm ? 0 : harm;
}

std::vector<MitigationCandidate> InterferenceGuard::candidatesOn(
    const PartitionController &keeper, const std::string &worker) const
{
    std::vector<MitigationCandidate> candidates;
    for (const auto &[task, profileName] : keeper.repeatableTasksOn(worker)) {
        const std::shared_ptr<const Profile> profile = m_profiles.find(profileName);
        if (profile) {
            candidates.push_back({task, profileName, profile->throttleable, profile->checkpointable});
        }
    }
    return candidates;
}

void InterferenceGuard::tick(PartitionManager &partitions)
{
    for (PartitionController *keeper : partitions.controllers()) {
        if (!keeper->isReady()) {
            continue;
        }
        for (const std::string &worker : keeper->workers()) {
            const auto found = m_disturbances.find(worker);
            if (found == m_disturbances.end()) {
                continue;
            }
            if (m_clock.now() - found->second.seenAt > SilenceMeansCalm) {
                found->second.slowdown = 0;
            }
            relieve(*keeper, worker, found->second);
        }
    }
}

void InterferenceGuard::relieve(PartitionController &keeper, const std::string &worker, const Disturbance &disturbance)
{
    const auto step = m_policy.decide(
        worker, disturbance.slowdown, disturbance.victim, candidatesOn(keeper, worker), m_model, m_clock.now());
    if (!step) {
        return;
    }
    if (step->kind == MitigationStep::Kind::Move) {
        m_timeline.record({.kind = "task.moved-away",
            .task = step->task,
            .worker = worker,
            .detail = "it slows " + disturbance.victim + " down"});
        keeper.evict(step->task, "it slows " + disturbance.victim + " down");
        return;
    }
    keeper.throttle(step->task, step->kind == MitigationStep::Kind::Throttle ? ThrottledPercent : FullPercent);
}

}
