// JobScheduler: placement of waiting tasks on workers.
#include "scheduling/BackfillSurvey.h"
#include "scheduling/GangCheckpoint.h"
#include "scheduling/JobRank.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/PlacementSurvey.h"
#include "scheduling/SuspectIsolation.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Wagtail
{

namespace
{

// Steps that wait this long are logged. Long-running tasks should run again within one or two seconds of any end.
constexpr Milliseconds WaitLogInterval {2'000};
// A task that may crash its worker shares one with another such task after it has found none for this long, because
// long-running tasks should run again within a few seconds of any end.
constexpr Milliseconds LongestIsolationWait {1'500};
// The same for tasks that are not long-running. It covers the time until a worker that has crashed is back.
constexpr Milliseconds LongestBatchIsolationWait {10'000};
// Workers are reserved only for tasks that may be placed within this time.
constexpr Milliseconds LongestReservedDelay {500};

// Returns how many tasks of a step could take a worker soon.
std::size_t countPlaceable(const StepState &step, const RecoveryHolds &holds, Instant now)
{
    return static_cast<std::size_t>(
        std::count_if(step.tasks.begin(), step.tasks.end(), [&holds, now](const TaskState &task) {
            return task.phase == RunPhase::Waiting && task.nextWorker.empty() && !holds.isHeldBack(task)
                && task.notBefore - now <= LongestReservedDelay;
        }));
}

}

void JobScheduler::dispatchSoon()
{
    if (m_dispatchPosted) {
        return;
    }
    m_dispatchPosted = true;
    const auto round = [weak = std::weak_ptr(m_self)] {
        if (const auto self = weak.lock()) {
            (*self)->beginDispatch();
        }
    };
    const Milliseconds delay = m_pacing.delayUntilNext(m_environment.clock.now());
    if (delay.count() > 0) {
        m_environment.scheduler.after(delay, round);
    } else {
        m_environment.scheduler.post(round);
    }
}

void JobScheduler::beginDispatch()
{
    m_dispatchPosted = false;
    if (m_authority != SchedulingAuthority::Full || !isAuthorityCurrent()) {
        return;
    }
    const Instant begin = m_environment.clock.now();
    dispatch();
    m_pacing.noteRound(begin, m_environment.clock.now());
}

void JobScheduler::dispatch()
{
    const Instant now = m_environment.clock.now();
    const RecoveryHolds holds = recoveryHolds();
    reviewHeldPlaces();
    placeHeldTasks(holds);
    std::vector<std::pair<JobRank, JobState *>> queue;
    for (JobState *job : m_unfinishedJobs) {
        if (job->isDeparting) {
            continue;
        }
        bool waits = false;
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                waits = waits || (readyCount(step, holds) > 0 && occurrence.isEligible(step));
            }
        }
        if (waits) {
            queue.emplace_back(m_environment.policies.order->rankOf(*job, now), job);
        }
    }
    std::stable_sort(
        queue.begin(), queue.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    m_reservedWorkers.clear();
    m_failedPlacements.clear();
    std::vector<StepState *> waiting;
    for (const auto &[rank, job] : queue) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (StepState &step : occurrence.steps) {
                if (readyCount(step, holds) == 0 || job->isFinished() || !occurrence.isEligible(step)) {
                    continue;
                }
                openStep(step);
                placeStep(step, holds);
                const int unplaced = readyCount(step, holds);
                if (unplaced == 0) {
                    step.unplacedSince.reset();
                    continue;
                }
                recordWaiting(step);
                waiting.push_back(&step);
                if (job->policy.advised) {
                    queryAdvisor(step);
                }
                if (step.specification().longRunning) {
                    m_reservedWorkers.reserveFor(m_workers, step, countPlaceable(step, holds, now), now);
                }
            }
        }
    }
    placeStarvedJobs(waiting, holds);
    placeProbes(waiting, holds);
    // Tasks that run nowhere come before those that still run.
    if (std::exchange(m_evacuationDue, false)) {
        evacuateWorkers();
    }
}

void JobScheduler::openStep(StepState &step)
{
    if (step.hasOpened) {
        return;
    }
    step.hasOpened = true;
    for (TaskState &task : step.tasks) {
        if (task.phase == RunPhase::Waiting) {
            task.times.begin(TaskActivity::Waiting, m_environment.clock.now());
            task.idleSince = task.idleSince.value_or(m_environment.clock.now());
        }
    }
}

void JobScheduler::recordWaiting(StepState &step)
{
    const Instant now = m_environment.clock.now();
    if (!step.lastWaitLogAt) {
        step.lastWaitLogAt = now;
    }
    if (!step.unplacedSince) {
        step.unplacedSince = now;
    }
    if (now - *step.lastWaitLogAt < WaitLogInterval) {
        return;
    }
    step.lastWaitLogAt = now;
    const auto waited = std::chrono::duration_cast<Milliseconds>(now - *step.unplacedSince);
    const auto termAge = std::chrono::duration_cast<Milliseconds>(now - m_startedAt);
    Json inputs = describe(surveyPlacement(m_workers, step, now));
    inputs["waiting"] = step.waitingCount;
    inputs["waited_ms"] = waited.count();
    inputs["term_age_ms"] = termAge.count();
    inputs["delegated_here"] = step.occurrence->job->ownedElsewhere;
    inputs["step"] = step.number;
    inputs["pool"] = step.occurrence->job->policy.pool;
    inputs["advised"] = step.occurrence->job->policy.advised;
    inputs["reserved"] = m_reservedWorkers.size();
    if (step.specification().backfills) {
        inputs["backfill"] = describe(surveyBackfill(m_workers, step, m_interference, now));
    }
    const std::string_view event = step.specification().longRunning ? "lasting-tasks-waiting" : "tasks-waiting";
    m_environment.listener.logDecision(event, step.occurrence->job->specification.id, inputs);
}

void JobScheduler::placeStep(StepState &step, const RecoveryHolds &holds)
{
    if (step.specification().gang) {
        // The members start together, so all of them have to be ready.
        if (readyCount(step, holds) == static_cast<int>(step.tasks.size())) {
            (void)placeGang(step);
        }
        return;
    }
    if (m_failedPlacements.covers(step)) {
        return;
    }
    std::vector<const TaskState *> placed;
    for (TaskState &task : step.tasks) {
        if (!mayPlace(task) || holds.isHeldBack(task)) {
            continue;
        }
        WorkerState *worker = choose(step, task);
        if (worker == nullptr && task.crashes.isSuspect()) {
            // Other tasks may still find a worker, because they need not be kept apart.
            noteIsolationWait(task);
            continue;
        }
        if (worker == nullptr) {
            m_failedPlacements.add(step);
            break;
        }
        place(task, *worker, nextRun(step, task));
        startPlaced({&task});
        placed.push_back(&task);
    }
    if (step.waitingCount == 0) {
        step.lastWaitLogAt.reset();
    }
    logPlacement(step, placed);
}

void JobScheduler::logPlacement(const StepState &step, const std::vector<const TaskState *> &tasks)
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
    // The lines of an event are limited by rate. Batch steps must not displace those of the few long-running ones.
    const std::string_view event = step.specification().longRunning ? "lasting-tasks-placed" : "tasks-placed";
    m_environment.listener.logDecision(event, job.specification.id,
        {{"occurrence", step.occurrence->number}, {"step", step.number}, {"age_ms", age.count()},
            {"waiting", step.waitingCount}, {"runs", std::move(runs)}});
}

bool JobScheduler::placeGang(StepState &step, std::optional<ProbeKind> probe)
{
    for (const TaskState &task : step.tasks) {
        if (!mayPlace(task)) {
            return false;
        }
    }
    const std::uint64_t run = nextRun(step, step.tasks.front());
    std::vector<TaskState *> placed;
    for (TaskState &task : step.tasks) {
        WorkerState *worker = choose(step, task, probe);
        if (worker == nullptr) {
            // No start order was sent yet, so the run number can be reused.
            for (auto member = placed.rbegin(); member != placed.rend(); ++member) {
                undoPlacement(**member);
            }
            step.highestRun = run - 1;
            // The members wait together.
            for (TaskState &member : step.tasks) {
                noteIsolationWait(member);
            }
            return false;
        }
        place(task, *worker, run, probe ? probeSpeed(worker->processorShare(step.specification())) : FullSpeedPercent);
        task.isProbe = probe.has_value();
        placed.push_back(&task);
    }
    for (const TaskState *member : placed) {
        if (probe) {
            beginTrialIfNeeded(m_workers.at(member->worker));
        }
    }
    shareNewestCheckpoint(step);
    startPlaced(placed);
    logPlacement(step, {placed.begin(), placed.end()});
    return true;
}

void JobScheduler::undoPlacement(TaskState &task)
{
    // Nothing has changed since the round of placement began, so it must not lead to another round.
    WorkerState &worker = m_workers.at(task.worker);
    worker.removeTask(task);
    if (task.step->specification().backfills) {
        worker.backfilling.pop_back();
    }
    task.worker.clear();
    task.phase = RunPhase::Waiting;
    task.times.begin(TaskActivity::Waiting, m_environment.clock.now());
    --task.placements;
    ++task.step->waitingCount;
}

void JobScheduler::noteIsolationWait(TaskState &task) const
{
    const Instant now = m_environment.clock.now();
    const PlacementSurvey survey = surveyPlacement(m_workers, *task.step, now);
    // While no worker would take the task anyway, it does not wait for its isolation.
    if (survey.available + survey.busy == 0) {
        task.isolatedSince.reset();
        return;
    }
    task.isolatedSince = task.isolatedSince.value_or(now);
}

IsolationStrictness JobScheduler::isolationStrictness(const TaskState &task) const
{
    const bool longRunning = task.step->specification().longRunning;
    const Milliseconds longestWait = longRunning ? LongestIsolationWait : LongestBatchIsolationWait;
    // Long-running tasks that are no suspects themselves don't wait.
    const bool hasWaited = task.crashes.isSuspect()
        ? task.isolatedSince && m_environment.clock.now() - *task.isolatedSince > longestWait
        : longRunning;
    return hasWaited ? IsolationStrictness::Preferred : IsolationStrictness::Required;
}

WorkerState *JobScheduler::choose(
    const StepState &step, const TaskState &task, std::optional<ProbeKind> probe, PlaceUse use)
{
    PlacementQuery query;
    query.step = &step;
    query.pool = step.occurrence->job->policy.pool;
    query.avoidedWorkers = &task.avoidedWorkers;
    query.interference = &m_interference;
    query.probe = probe;
    query.now = m_environment.clock.now();
    if (step.specification().sameRack) {
        query.preferredRack = preferredRack(step);
    }
    const IsolationQuery isolationQuery {isolationStrictness(task), query.now};
    WorkerState *best = nullptr;
    double lowestCost = std::numeric_limits<double>::max();
    for (auto &[name, worker] : m_workers) {
        const std::optional<double> cost = placementCost(worker, query);
        const std::optional<double> isolation = cost ? isolationCost(task, worker, isolationQuery) : std::nullopt;
        if (!isolation || *cost + *isolation >= lowestCost) {
            continue;
        }
        // Most workers are full under load, so the look-ups by name come last.
        const bool reserved = !step.specification().longRunning && m_reservedWorkers.contains(name);
        const bool isAllowed = use == PlaceUse::Hold ? isAdvised(worker, step) : isPermitted(step, worker);
        if (!reserved && isAllowed && m_leaseHandover.mayGrant(name)) {
            lowestCost = *cost + *isolation;
            best = &worker;
        }
    }
    return best;
}

std::string JobScheduler::preferredRack(const StepState &step) const
{
    std::map<std::string, std::int64_t> freeByRack;
    for (const auto &[name, worker] : m_workers) {
        freeByRack[worker.listing.rack] += worker.freeResources().milliCores;
    }
    for (const TaskState &task : step.tasks) {
        const auto found = m_workers.find(task.worker);
        if (found != m_workers.end()) {
            return found->second.listing.rack;
        }
    }
    const auto most = std::max_element(freeByRack.begin(), freeByRack.end(),
        [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == freeByRack.end() ? std::string() : most->first;
}

}
