#include "scheduling/RelocationCandidates.h"

#include "scheduling/JobDeparture.h"
#include "scheduling/ReservedWorkers.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Callers expect a step to start within 3 s if there is room anywhere in the fleet, and a move takes part of that.

// A worker that restarts may be away for a moment.
constexpr Milliseconds DelayWithoutWorkers {1'000};
// A new owner first hears its workers.
constexpr Milliseconds DelayWithUnknownWorkers {1'500};
constexpr Milliseconds DelayBesideWorkers {2'000};
// A job with a few places elsewhere is no worse off than with none here.
constexpr std::size_t MostTasksToPlace = 4;

}

RelocationCandidates::RelocationCandidates(
    const std::map<std::string, WorkerState> &workers, RecoveryHolds holds, Instant now, DependentSteps dependents)
    : m_workers(workers), m_holds(std::move(holds)), m_now(now), m_dependents(dependents)
{
    m_knowsWorkers = std::none_of(m_workers.begin(), m_workers.end(), [](const auto &entry) {
        const WorkerState &worker = entry.second;
        return worker.listed && !worker.listing.draining && !worker.hasAnswered && worker.consecutiveUnanswered == 0;
    });
}

std::vector<const TaskState *> RelocationCandidates::search(const JobState &job) const
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const StepState &step : occurrence.steps) {
            const bool isStuck = step.waitingCount > 0 && step.unplacedSince && occurrence.isEligible(step)
                && !hasMovableTasks(step, m_dependents);
            if (!isStuck || !hasWaited(step) || !mayDepart(job, m_holds)) {
                continue;
            }
            const std::size_t most = step.specification().gang ? step.tasks.size() : MostTasksToPlace;
            std::vector<const TaskState *> tasks;
            for (const TaskState &task : step.tasks) {
                if (task.phase == RunPhase::Waiting && tasks.size() < most) {
                    tasks.push_back(&task);
                }
            }
            return tasks;
        }
    }
    return {};
}

bool RelocationCandidates::hasWaited(const StepState &step) const
{
    const auto waited = m_now - *step.unplacedSince;
    if (waited >= DelayBesideWorkers) {
        return true;
    }
    return waited >= (m_knowsWorkers ? DelayWithoutWorkers : DelayWithUnknownWorkers) && !couldStartLater(step);
}

bool RelocationCandidates::couldStartLater(const StepState &step) const
{
    const std::size_t needed = step.specification().gang ? step.tasks.size() : 1;
    std::size_t places = 0;
    for (const auto &[name, worker] : m_workers) {
        if (!isRefusedByAdvice(worker, step) && couldTakeLater(worker, step, m_now)) {
            places += placesFor(worker, step, needed);
        }
    }
    return places >= needed;
}

}
