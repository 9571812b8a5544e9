// The part of JobScheduler that tells what its workers can take.
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

PassingDemand JobScheduler::passingDemand(const std::string &pool) const
{
    const auto found = m_passing.find(pool);
    return found == m_passing.end() ? PassingDemand(m_beganAt) : found->second;
}

void JobScheduler::observePassingWork()
{
    std::map<std::string, PassingSample> samples;
    for (const JobState *job : m_open) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                const StepSpecification &specification = step.specification();
                const int open = static_cast<int>(step.tasks.size()) - step.doneCount;
                if (!specification.longRunning && !specification.backfills && occurrence.isEligible(step)) {
                    samples[job->policy.pool].add(open, specification.demand.milliCores);
                }
            }
        }
    }
    for (const auto &[name, worker] : m_workers) {
        m_passing.try_emplace(worker.listing.pool, m_beganAt);
    }
    for (auto &[pool, demand] : m_passing) {
        demand.observe(samples[pool]);
    }
}

PoolHeadrooms JobScheduler::headrooms() const
{
    const Instant now = m_environment.clock.now();
    PoolHeadrooms rooms;
    for (const auto &[name, worker] : m_workers) {
        if (!worker.listed) {
            continue;
        }
        PoolHeadroom &room = rooms[worker.listing.pool];
        room.largestWorker = room.largestWorker.maximum(worker.listing.capacity);
        room.labels.insert(worker.listing.labels.begin(), worker.listing.labels.end());
        room.racks.insert(worker.listing.rack);
    }
    std::map<std::string, std::int64_t> typicalTasks;
    for (auto &[pool, room] : rooms) {
        typicalTasks[pool] = passingDemand(pool).typicalTask(room.largestWorker.milliCores);
    }
    for (const auto &[name, worker] : m_workers) {
        if (worker.listed && (isUsable(worker, now) || !worker.contacted)) {
            PoolHeadroom &room = rooms[worker.listing.pool];
            const std::int64_t typical = typicalTasks[worker.listing.pool];
            const Resources gapOfWorker = worker.roomBesideLasting();
            const std::int64_t gap = std::max<std::int64_t>(0, gapOfWorker.milliCores);
            if (gapOfWorker.milliCores > room.largestGap.milliCores) {
                room.largestGap = gapOfWorker;
            }
            room.capacity += worker.listing.capacity.milliCores;
            room.freeBesideLongRunning += gap;
            room.freeForBatch += gap / typical * typical;
        }
    }
    for (const JobState *job : m_open) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                if (step.specification().longRunning && occurrence.isEligible(step)) {
                    const Resources demand = WorkerState::countedDemand(step.specification());
                    rooms[job->policy.pool].reserveForLongRunning(step.waitingCount * demand.milliCores);
                }
            }
        }
    }
    for (auto &[pool, room] : rooms) {
        room.batchDemand = passingDemand(pool).expected(now, room.capacity);
    }
    return rooms;
}

}
