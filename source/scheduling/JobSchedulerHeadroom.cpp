// JobScheduler: headroom of the workers, by pool.
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Returns how many of the given number of tasks of a step may get a worker here, as far as advice is concerned.
int limitByAdvice(int count, const std::map<std::string, WorkerState> &workers, const StepState &step, Instant now)
{
    if (!step.occurrence->job->policy.advised) {
        return count;
    }
    const auto most = static_cast<std::size_t>(count);
    std::size_t places = 0;
    for (const auto &[name, worker] : workers) {
        if (isAdvised(worker, step) && couldTakeLater(worker, step, now)) {
            places += placesFor(worker, step, most);
        }
    }
    return static_cast<int>(std::min(places, most));
}

}

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
                if (!specification.longRunning && !specification.backfills && occurrence.isEligible(step)) {
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

int JobScheduler::countWithoutPlace(const StepState &step) const
{
    return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(), [this](const TaskState &task) {
        const auto worker = m_workers.find(task.worker);
        const bool isLeaving
            = task.phase == RunPhase::Running && worker != m_workers.end() && worker->second.listing.draining;
        return (task.phase == RunPhase::Waiting || isLeaving) && task.nextWorker.empty();
    }));
}

PoolHeadrooms JobScheduler::headrooms() const
{
    const Instant now = m_environment.clock.now();
    PoolHeadrooms headrooms;
    for (const auto &[name, worker] : m_workers) {
        if (!worker.listed) {
            continue;
        }
        PoolHeadroom &headroom = headrooms[worker.listing.pool];
        headroom.largestWorker = headroom.largestWorker.maximum(worker.listing.capacity);
        headroom.addWorker(worker.listing.capacity);
        if (acceptsTasks(worker, now)) {
            headroom.largestFree = headroom.largestFree.maximum(worker.freeResources());
        }
        headroom.labels.insert(worker.listing.labels.begin(), worker.listing.labels.end());
        headroom.racks.insert(worker.listing.rack);
    }
    std::map<std::string, std::int64_t> typicalTasks;
    for (auto &[pool, headroom] : headrooms) {
        typicalTasks[pool] = batchDemand(pool).typicalTaskMilliCores(headroom.largestWorker.milliCores);
    }
    for (const auto &[name, worker] : m_workers) {
        if (worker.listed && (acceptsTasks(worker, now) || !worker.hasAnswered)) {
            PoolHeadroom &headroom = headrooms[worker.listing.pool];
            const std::int64_t typical = typicalTasks[worker.listing.pool];
            const Resources gapOfWorker = worker.freeBesideLongRunning();
            // Nothing starts on a worker that lacks any resource for what runs there.
            const std::int64_t gap = Resources().fitsInto(gapOfWorker) ? gapOfWorker.milliCores : 0;
            if (gap > headroom.largestGap.milliCores) {
                headroom.largestGap = gapOfWorker;
            }
            if (gap > 0 && acceptsTasks(worker, now)) {
                headroom.addGap(gapOfWorker);
            }
            headroom.capacity += worker.listing.capacity.milliCores;
            headroom.freeBesideLongRunning += gap;
            headroom.freeForBatch += gap / typical * typical;
        }
    }
    for (const JobState *job : m_unfinishedJobs) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                if (step.specification().longRunning && occurrence.isEligible(step)) {
                    const Resources demand = WorkerState::countedDemand(step.specification());
                    // Places that they may not take are left to others.
                    const int count = limitByAdvice(countWithoutPlace(step), m_workers, step, now);
                    const std::int64_t waiting = count * demand.milliCores;
                    PoolHeadroom &headroom = headrooms[job->policy.pool];
                    headroom.freeForBatch -= waiting;
                    // Tasks that fit into no gap leave the gaps to smaller tasks of other partitions.
                    headroom.freeBesideLongRunning -= demand.fitsInto(headroom.largestGap) ? waiting : 0;
                }
            }
        }
    }
    for (auto &[pool, headroom] : headrooms) {
        headroom.batchDemand = batchDemand(pool).expectedMilliCores(now, headroom.capacity);
    }
    return headrooms;
}

}
