#include "daemon/InterferenceController.h"

namespace Wagtail
{

namespace
{

constexpr double SmoothingFactor = 0.1;
constexpr int ThrottledPercent = 40;
constexpr int FullPercent = 100;
constexpr Milliseconds SlowdownExpiry {5'000};
// Smaller predictions count as zero, so that they don't outweigh the spreading of load over workers.
constexpr double NegligibleSlowdown = 0.05;

}

InterferenceController::InterferenceController(const Clock &clock, ProfileCatalog &profiles, Timeline &timeline)
    : m_clock(clock), m_profiles(profiles), m_timeline(timeline), m_policy(MitigationPolicy::Limits())
{
}

void InterferenceController::observe(
    const std::string &worker, const std::string &profile, const RunningCounts &colocated, double seconds)
{
    m_model.observe(profile, colocated, seconds);
    const double slowdown = seconds / std::max(m_model.baselineSeconds(profile), 1e-9) - 1.0;
    WorkerSlowdown &observed = m_slowdowns[worker];
    observed.slowdown += SmoothingFactor * (slowdown - observed.slowdown);
    observed.victim = profile;
    observed.observedAt = m_clock.now();
}

double InterferenceController::predict(const std::string &profile, const FleetWorker &worker) const
{
    double total = 0;
    for (const auto &[other, count] : worker.runningByProfile) {
        const auto amount = static_cast<double>(count);
        total += (m_model.pairSlowdown(profile, other) + m_model.pairSlowdown(other, profile)) * amount;
    }
    return total < NegligibleSlowdown ? 0 : total;
}

std::vector<MitigationCandidate> InterferenceController::candidatesOn(
    const PartitionController &controller, const std::string &worker) const
{
    std::vector<MitigationCandidate> candidates;
    for (const auto &[task, profileName] : controller.repeatableTasksOn(worker)) {
        const std::shared_ptr<const Profile> profile = m_profiles.find(profileName);
        if (profile) {
            candidates.push_back({task, profileName, profile->throttleable, profile->checkpointable});
        }
    }
    return candidates;
}

void InterferenceController::tick(PartitionManager &partitions)
{
    for (PartitionController *controller : partitions.controllers()) {
        if (!controller->isReady()) {
            continue;
        }
        for (const std::string &worker : controller->workers()) {
            const auto found = m_slowdowns.find(worker);
            if (found == m_slowdowns.end()) {
                continue;
            }
            if (m_clock.now() - found->second.observedAt > SlowdownExpiry) {
                found->second.slowdown = 0;
            }
            mitigate(*controller, worker, found->second);
        }
    }
}

void InterferenceController::mitigate(
    PartitionController &controller, const std::string &worker, const WorkerSlowdown &observed)
{
    const auto step = m_policy.decide(
        worker, observed.slowdown, observed.victim, candidatesOn(controller, worker), m_model, m_clock.now());
    if (!step) {
        return;
    }
    if (step->kind == MitigationStep::Kind::Move) {
        m_timeline.record({.kind = "task.moved-away",
            .task = step->task,
            .worker = worker,
            .detail = "it slows " + observed.victim + " down"});
        controller.evict(step->task, "it slows " + observed.victim + " down");
        return;
    }
    controller.throttle(step->task, step->kind == MitigationStep::Kind::Throttle ? ThrottledPercent : FullPercent);
}

}
