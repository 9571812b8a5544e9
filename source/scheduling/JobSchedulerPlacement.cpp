// The part of JobScheduler that gives waiting tasks to workers.
#include "scheduling/JobRank.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/PlacementSurvey.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <limits>

namespace Wagtail
{

namespace
{

// Tasks that wait this long are logged: lasting ones should be back at work within a second or two of any end.
constexpr Milliseconds NoticedWait {2'000};

}

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
    if (m_authority != SchedulingAuthority::Full) {
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
    m_failedPlacements.clear();
    for (const auto &[rank, job] : queue) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (StepState &step : occurrence.steps) {
                if (step.waitingCount == 0 || job->isFinished() || !occurrence.isEligible(step)) {
                    continue;
                }
                placeStep(step);
                if (step.waitingCount > 0) {
                    noteWaiting(step);
                } else {
                    step.unplacedSince.reset();
                }
                if (step.waitingCount > 0 && job->policy.advised) {
                    askAdvisor(step);
                }
                if (step.specification().longRunning && step.waitingCount > 0) {
                    reserveFor(step);
                }
            }
        }
    }
}

void JobScheduler::noteWaiting(StepState &step)
{
    const Instant now = m_environment.clock.now();
    if (!step.waitingSince) {
        step.waitingSince = now;
    }
    if (!step.unplacedSince) {
        step.unplacedSince = now;
    }
    if (now - *step.waitingSince < NoticedWait) {
        return;
    }
    step.waitingSince = now;
    Json inputs = describe(surveyPlacement(m_workers, step, now));
    inputs["waiting"] = step.waitingCount;
    inputs["step"] = step.number;
    inputs["lasting"] = step.specification().longRunning;
    inputs["reserved"] = m_reserved.size();
    m_environment.listener.logDecision("tasks-wait", step.occurrence->job->specification.id, inputs);
}

void JobScheduler::reserveFor(const StepState &step)
{
    const StepSpecification &specification = step.specification();
    const std::string &pool = step.occurrence->job->policy.pool;
    const Instant now = m_environment.clock.now();
    std::vector<std::pair<std::int64_t, std::string>> candidates;
    for (const auto &[name, worker] : m_workers) {
        const bool suitable = !m_reserved.contains(name) && isUsable(worker, now)
            && couldEverHold(worker, specification, pool) && !hasReachedSpread(worker, step);
        if (suitable && specification.demand.fitsInto(worker.roomBesideLasting())) {
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
    if (m_failedPlacements.ruleOut(step)) {
        return;
    }
    const Instant now = m_environment.clock.now();
    std::vector<const TaskState *> placed;
    for (TaskState &task : step.tasks) {
        if (task.phase != RunPhase::Waiting || task.notBefore > now) {
            continue;
        }
        WorkerState *worker = choose(step, task);
        if (worker == nullptr) {
            m_failedPlacements.note(step);
            break;
        }
        place(task, *worker, nextRun(step, task));
        sendStart(task);
        placed.push_back(&task);
    }
    if (step.waitingCount == 0) {
        step.waitingSince.reset();
    }
    notePlaced(step, placed);
}

void JobScheduler::notePlaced(const StepState &step, const std::vector<const TaskState *> &tasks)
{
    if (tasks.empty()) {
        return;
    }
    Json runs = Json::array();
    for (const TaskState *task : tasks) {
        runs.push_back({{"task", task->index}, {"run", task->run}, {"worker", task->worker}});
    }
    const JobState &job = *step.occurrence->job;
    const auto age = std::chrono::duration_cast<Milliseconds>(m_environment.clock.now() - job.acceptedAt);
    m_environment.listener.logDecision("tasks-placed", job.specification.id,
        {{"occurrence", step.occurrence->number}, {"step", step.number}, {"age_ms", age.count()},
            {"waiting", step.waitingCount}, {"runs", std::move(runs)}});
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
    notePlaced(step, {placed.begin(), placed.end()});
}

WorkerState *JobScheduler::choose(const StepState &step, const TaskState &task)
{
    WorkerQuery query;
    query.step = &step;
    query.pool = step.occurrence->job->policy.pool;
    query.avoided = &task.avoided;
    query.pressure = &m_pressure;
    query.now = m_environment.clock.now();
    if (step.specification().sameRack) {
        query.preferredRack = preferredRack(step);
    }
    WorkerState *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (auto &[name, worker] : m_workers) {
        const bool keptFree = !step.specification().longRunning && m_reserved.contains(name);
        if (keptFree || !mayRun(step, worker)) {
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
