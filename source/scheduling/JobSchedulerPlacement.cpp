// The part of JobScheduler that gives waiting tasks to workers.
#include "scheduling/JobRank.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <limits>

namespace Wagtail
{

void JobScheduler::dispatchSoon()
{
    if (m_dispatchPosted) {
        return;
    }
    m_dispatchPosted = true;
    m_environment.scheduler.post([weak = std::weak_ptr(m_self)] {
        if (const auto self = weak.lock()) {
            (*self)->dispatch();
        }
    });
}

void JobScheduler::dispatch()
{
    m_dispatchPosted = false;
    if (!m_startsAllowed) {
        return;
    }
    const Instant now = m_environment.clock.now();
    const bool recovering = isRecovering();
    std::vector<std::pair<JobRank, JobState *>> queue;
    for (JobState *job : m_open) {
        const bool heldBack = recovering && job->inherited;
        bool waits = false;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                waits = waits || (step.waitingCount > 0 && occurrence.isEligible(step));
            }
        }
        if (waits && !heldBack) {
            queue.emplace_back(rankOf(*job, now), job);
        }
    }
    std::stable_sort(
        queue.begin(), queue.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    m_reserved.clear();
    for (const auto &[rank, job] : queue) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (StepState &step : occurrence.steps) {
                if (step.waitingCount == 0 || job->isFinished() || !occurrence.isEligible(step)) {
                    continue;
                }
                placeStep(step);
                if (step.specification().lasting && step.waitingCount > 0) {
                    reserveFor(step);
                }
            }
        }
    }
}

void JobScheduler::reserveFor(const StepState &step)
{
    const StepSpecification &specification = step.specification();
    const std::string &pool = step.occurrence->job->policy.pool;
    std::vector<std::pair<std::int64_t, std::string>> candidates;
    for (const auto &[name, worker] : m_workers) {
        const bool usable
            = worker.listed && worker.contacted && !worker.listing.draining && worker.unansweredInRow == 0;
        if (!usable || m_reserved.contains(name) || !couldEverHold(worker, specification, pool)) {
            continue;
        }
        // What lasts stays; everything else ends by itself before long.
        Resources reachable = worker.listing.capacity;
        int sameStep = 0;
        for (const TaskState *task : worker.tasks) {
            if (task->step->specification().lasting) {
                reachable = reachable - WorkerState::countedDemand(task->step->specification());
            }
            sameStep += task->step == &step ? 1 : 0;
        }
        const bool spread = specification.perWorkerLimit == 0 || sameStep < specification.perWorkerLimit;
        if (spread && specification.demand.fitsInto(reachable)) {
            candidates.emplace_back(-worker.room().milliCores, name);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t wanted = std::min(candidates.size(), static_cast<std::size_t>(step.waitingCount));
    for (std::size_t i = 0; i < wanted; ++i) {
        m_reserved.insert(candidates[i].second);
    }
}

void JobScheduler::placeStep(StepState &step)
{
    if (step.specification().gang) {
        placeGang(step);
        return;
    }
    const Instant now = m_environment.clock.now();
    for (TaskState &task : step.tasks) {
        if (task.phase != RunPhase::Waiting || task.notBefore > now) {
            continue;
        }
        WorkerState *worker = choose(step, task);
        if (worker == nullptr) {
            return;
        }
        place(task, *worker, nextRun(step, task));
        sendStart(task);
    }
}

void JobScheduler::placeGang(StepState &step)
{
    const Instant now = m_environment.clock.now();
    for (const TaskState &task : step.tasks) {
        if (task.phase != RunPhase::Waiting || task.notBefore > now) {
            return;
        }
    }
    const std::uint64_t run = nextRun(step, step.tasks.front());
    std::vector<TaskState *> placed;
    for (TaskState &task : step.tasks) {
        WorkerState *worker = choose(step, task);
        if (worker == nullptr) {
            // Nothing was sent yet, so the run number may be used again.
            for (TaskState *member : placed) {
                release(*member, Milliseconds(0));
            }
            step.highestRun = run - 1;
            return;
        }
        place(task, *worker, run);
        placed.push_back(&task);
    }
    for (TaskState *member : placed) {
        sendStart(*member);
    }
}

WorkerState *JobScheduler::choose(const StepState &step, const TaskState &task)
{
    WorkerQuery query;
    query.step = &step.specification();
    query.pool = step.occurrence->job->policy.pool;
    query.avoided = &task.avoided;
    query.pressure = &m_pressure;
    query.now = m_environment.clock.now();
    std::map<std::string, int> sameStep;
    if (query.step->perWorkerLimit > 0) {
        for (const TaskState &other : step.tasks) {
            if (!other.worker.empty()) {
                ++sameStep[other.worker];
            }
        }
    }
    query.sameStep = &sameStep;
    if (query.step->sameRack) {
        query.preferredRack = preferredRack(step);
    }
    WorkerState *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto &[name, worker] : m_workers) {
        if (!query.step->lasting && m_reserved.contains(name)) {
            continue;
        }
        const std::optional<double> cost = placementCost(worker, query);
        if (cost && *cost < least) {
            least = *cost;
            best = &worker;
        }
    }
    return best;
}

std::string JobScheduler::preferredRack(const StepState &step) const
{
    std::map<std::string, std::int64_t> room;
    for (const auto &[name, worker] : m_workers) {
        room[worker.listing.rack] += worker.room().milliCores;
    }
    for (const TaskState &task : step.tasks) {
        const auto found = m_workers.find(task.worker);
        if (found != m_workers.end()) {
            return found->second.listing.rack;
        }
    }
    const auto most = std::max_element(
        room.begin(), room.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == room.end() ? std::string() : most->first;
}

}
