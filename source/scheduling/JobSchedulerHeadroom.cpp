// JobScheduler: headroom of the workers, by pool.
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

BatchDemandEstimator JobScheduler::batchDemand(const std::string &pool) const
{
    const auto found = m_batchDemand.find(pool);
    return found == m_batchDemand.end() ? BatchDemandEstimator(m_startedAt) : found->second;
}

void JobScheduler::sampleBatchDemand()
{
    std::map<std::string, BatchDemandSample> samples;
    for (const JobState *job : m_unfinishedJobs) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                const StepSpecification &specification = step.specification();
                const int unfinished = static_cast<int>(step.tasks.size()) - step.doneCount;
                if (!specification.lasting && !specification.backfills && occurrence.isEligible(step)) {
                    samples[job->policy.pool].add(unfinished, specification.demand.milliCores);
                }
            }
        }
    }
    for (const auto &[name, worker] : m_workers) {
        m_batchDemand.try_emplace(worker.listing.pool, m_startedAt);
    }
    for (auto &[pool, demand] : m_batchDemand) {
        demand.observe(samples[pool]);
    }
}

PoolRooms JobScheduler::rooms() const
{
    const Instant now = m_environment.clock.now();
    PoolRooms rooms;
    for (const auto &[name, worker] : m_workers) {
        if (!worker.listed) {
            continue;
        }
        PoolRoom &room = rooms[worker.listing.pool];
        room.largestWorker = room.largestWorker.maximum(worker.listing.capacity);
        room.labels.insert(worker.listing.labels.begin(), worker.listing.labels.end());
        room.racks.insert(worker.listing.rack);
    }
    std::map<std::string, std::int64_t> typicalTasks;
    for (auto &[pool, room] : rooms) {
        typicalTasks[pool] = batchDemand(pool).typicalTaskMilliCores(room.largestWorker.milliCores);
    }
    for (const auto &[name, worker] : m_workers) {
        if (worker.listed && (acceptsTasks(worker, now) || !worker.hasAnswered)) {
            PoolRoom &room = rooms[worker.listing.pool];
            const std::int64_t typical = typicalTasks[worker.listing.pool];
            const Resources gapOfWorker = worker.freeBesideLongRunning();
            const std::int64_t gap = std::max<std::int64_t>(0, gapOfWorker.milliCores);
            if (gapOfWorker.milliCores > room.largestGap.milliCores) {
                room.largestGap = gapOfWorker;
            }
            room.capacity += worker.listing.capacity.milliCores;
            room.freeBesideLasting += gap;
            room.freeForPassing += gap / typical * typical;
        }
    }
    for (const JobState *job : m_unfinishedJobs) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                if (step.specification().lasting && occurrence.isEligible(step)) {
                    const Resources demand = WorkerState::countedDemand(step.specification());
                    rooms[job->policy.pool].takeForLasting(step.waitingCount * demand.milliCores);
                }
            }
        }
    }
    for (auto &[pool, room] : rooms) {
        room.passing = batchDemand(pool).expectedMilliCores(now, room.capacity);
    }
    return rooms;
}

}
