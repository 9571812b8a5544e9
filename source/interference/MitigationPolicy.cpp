#include "interference/MitigationPolicy.h"

#include <algorithm>

namespace Wagtail
{

MitigationPolicy::MitigationPolicy(Limits limits) : m_limits(limits)
{
}

std::optional<MitigationStep> MitigationPolicy::decide(const std::string &worker, double slowdown,
    const std::string &victim, const std::vector<MitigationCandidate> &candidates, const InterferenceModel &model,
    Instant now)
{
    WorkerState &state = m_workers[worker];
    std::erase_if(state.throttled, [&candidates](const auto &item) {
        return std::ranges::none_of(
            candidates, [&item](const MitigationCandidate &candidate) { return candidate.task == item.first; });
    });
    if (slowdown > m_limits.calm) {
        state.calmSince.reset();
    } else if (!state.calmSince) {
        state.calmSince = now;
    }
    if (now < state.nextStep) {
        return std::nullopt;
    }
    std::optional<MitigationStep> step;
    if (slowdown > m_limits.disturbed) {
        step = relieve(state, victim, candidates, model);
    } else if (state.calmSince && now - *state.calmSince >= m_limits.calmTime) {
        step = restore(state, now);
    }
    if (step) {
        state.nextStep = now + m_limits.effectDelay;
        if (step->kind == MitigationStep::Kind::Throttle) {
            state.throttled[step->task] = now;
        }
    }
    return step;
}

// The cheapest step against the greatest harm: throttling costs less than moving, and a task that is throttled and
// still harms is moved.
std::optional<MitigationStep> MitigationPolicy::relieve(WorkerState &state, const std::string &victim,
    const std::vector<MitigationCandidate> &candidates, const InterferenceModel &model) const
{
    const MitigationCandidate *worst = nullptr;
    double worstHarm = 0;
    for (const MitigationCandidate &candidate : candidates) {
        const bool throttled = state.throttled.contains(candidate.task);
        const bool usable = throttled ? candidate.movable : candidate.throttleable || candidate.movable;
        const double harm = model.pairSlowdown(victim, candidate.profile);
        if (usable && harm > worstHarm) {
            worst = &candidate;
            worstHarm = harm;
        }
    }
    if (worst == nullptr) {
        return std::nullopt;
    }
    if (worst->throttleable && !state.throttled.contains(worst->task)) {
        return MitigationStep {MitigationStep::Kind::Throttle, worst->task};
    }
    state.throttled.erase(worst->task);
    return MitigationStep {MitigationStep::Kind::Move, worst->task};
}

std::optional<MitigationStep> MitigationPolicy::restore(WorkerState &state, Instant now) const
{
    if (state.throttled.empty()) {
        return std::nullopt;
    }
    const auto longest = std::ranges::min_element(state.throttled, {}, [](const auto &item) { return item.second; });
    const MitigationStep step {MitigationStep::Kind::Restore, longest->first};
    state.throttled.erase(longest);
    state.calmSince = now;
    return step;
}

}
