#include "scheduling/ReservedWorkers.h"

#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Wagtail
{

namespace
{

// A ticket that has expired is soon replaced while the advisor answers.
constexpr Milliseconds LongestRenewal {1'000};

// Returns whether the placement advisor permits the step on the worker, as far as it has answered lately.
bool isPermittedSoon(const WorkerState &worker, const StepState &step, Instant now)
{
    const auto advice = step.permissions.find(worker.listing.name);
    const bool needsAdvice = step.occurrence->job->policy.advised;
    return !needsAdvice || (isAdvised(worker, step) && now - advice->second.validUntil < LongestRenewal);
}

}

std::size_t placesFor(const WorkerState &worker, const StepState &step, std::size_t most)
{
    const StepSpecification &specification = step.specification();
    const auto limit = static_cast<std::size_t>(specification.perWorkerLimit);
    const std::size_t allowed = limit == 0 ? most : std::min(most, limit);
    const Resources free = worker.freeBesideLongRunning();
    const Resources demand = WorkerState::countedDemand(specification);
    Resources needed = demand;
    std::size_t places = 0;
    while (places < allowed && needed.fitsInto(free)) {
        needed = needed + demand;
        ++places;
    }
    return places;
}

void ReservedWorkers::clear()
{
    m_names.clear();
}

void ReservedWorkers::reserveFor(
    const std::map<std::string, WorkerState> &workers, const StepState &step, std::size_t count, Instant now)
{
    std::vector<std::pair<std::int64_t, std::string>> candidates;
    std::size_t places = 0;
    for (const auto &[name, worker] : workers) {
        if (!contains(name) && couldTakeLater(worker, step, now) && isPermittedSoon(worker, step, now)
            && step.specification().demand.fitsInto(worker.freeBesideLongRunning())) {
            candidates.emplace_back(-worker.freeResources().milliCores, name);
            places += placesFor(worker, step, count);
        }
    }
    if (step.specification().gang && places < count) {
        return;
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t wanted = std::min(candidates.size(), count);
    for (std::size_t i = 0; i < wanted; ++i) {
        m_names.insert(candidates[i].second);
    }
}

bool ReservedWorkers::contains(const std::string &worker) const
{
    return m_names.contains(worker);
}

std::size_t ReservedWorkers::size() const
{
    return m_names.size();
}

}
