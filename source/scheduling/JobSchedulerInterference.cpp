// JobScheduler: learns how much backfilling tasks interfere with serving tasks, and throttles them.
#include "scheduling/BackfillProbe.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/StarvedJobs.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Between reports that are further apart, the serving load itself may have changed too much to learn from.
constexpr Milliseconds MaximumSampleInterval {1'200};
constexpr double SaturatedLoad = 0.92;
// Covers the start of a task, its restore from a checkpoint and two reports.
constexpr Milliseconds SettlingTime {2'000};
// Smaller changes of speed are not worth an order.
constexpr int MinimumSpeedChangePercent = 10;
// A backfilling task that stays below this speed for this long is moved to another worker, unless a restart would lose
// much of its progress.
constexpr int SlowPercent = 40;
constexpr Milliseconds MaximumSlowedTime {1'200};
// A task that is paused for this long is moved although a restart loses its progress. It is longer than the swings of a
// serving load.
constexpr Milliseconds LongestPauseWithProgress {8'000};

// Returns after what pause a task is moved although a restart loses its progress. The time grows with what it has lost
// before, so that it gets longer than any swing of the serving loads, and the task ends.
Milliseconds longestPause(const TaskState &task)
{
    constexpr int WholePercent = 100;
    return LongestPauseWithProgress * (WholePercent + task.lostPercent) / WholePercent;
}

}

void JobScheduler::updateInterference(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    BackfillUse use;
    worker.backfilling.clear();
    const double capacity = std::max(1.0, static_cast<double>(worker.listing.capacity.milliCores));
    for (const TaskState *task : worker.tasks) {
        const StepSpecification &step = task->step->specification();
        if (step.backfills) {
            const double share = static_cast<double>(task->usage) / capacity;
            use[task->step->image] += share;
            worker.backfilling.push_back(
                {task->step->image, worker.processorShare(step), share, std::max(0, task->speedPercent),
                    task->phase == RunPhase::Running && now - task->speedSetAt >= SettlingTime,
                    task->isProbe && worker.trial.isOpen(now)});
        }
    }
    BackfillUse change = use;
    for (const auto &[image, share] : worker.backfillUse) {
        change[image] -= share;
    }
    const bool comparable = worker.sampledAt && now - *worker.sampledAt <= MaximumSampleInterval;
    worker.serving.clear();
    for (TaskState *task : worker.tasks) {
        const StepSpecification &step = task->step->specification();
        if (step.tailTarget.count() == 0 || task->phase != RunPhase::Running || task->usage <= 0) {
            continue;
        }
        const ImageId image = task->step->image;
        const double load = m_interference.observeTail(image, task->usage, now);
        const double before = task->load;
        task->load = load;
        // A saturated queue takes a while to drain, independent of the current interference, so its load teaches
        // nothing.
        if (comparable && before > 0.0 && load < SaturatedLoad && before < SaturatedLoad) {
            m_interference.learn(image, change, load - before);
        }
        const double limit = m_interference.loadAt(image, static_cast<double>(step.tailTarget.count()));
        if (task->usage <= step.tailTarget.count()) {
            logTimeOverTarget(*task);
            task->overTargetSince.reset();
        } else {
            task->overTargetSince = task->overTargetSince.value_or(now);
            task->overTargetByBackfill = load - m_interference.loadGrowth(image, use) <= limit;
        }
        const auto overFor = task->overTargetSince ? now - *task->overTargetSince : Instant::duration::zero();
        ServingSample sample {image, load, limit, std::chrono::duration_cast<Milliseconds>(overFor).count(),
            task->overTargetSince && task->overTargetByBackfill};
        task->isNearLimitByItself = isNearLimitByItself(m_interference, sample, use, task->isNearLimitByItself);
        sample.isNearLimitByItself = task->isNearLimitByItself;
        worker.serving.push_back(sample);
    }
    worker.backfillUse = std::move(use);
    worker.sampledAt = now;
}

void JobScheduler::logTimeOverTarget(const TaskState &task)
{
    if (!task.overTargetSince) {
        return;
    }
    const auto duration = m_environment.clock.now() - *task.overTargetSince;
    m_environment.listener.logDecision("serving-over-target", nameOf(task).text(),
        {{"worker", task.worker}, {"duration_ms", std::chrono::duration_cast<Milliseconds>(duration).count()},
            {"by_backfill", task.overTargetByBackfill}});
}

void JobScheduler::throttleBackfill(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    const std::vector<int> speeds = nextSpeeds(m_interference, worker.serving, worker.backfilling);
    std::size_t next = 0;
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        if (!task->step->specification().backfills) {
            continue;
        }
        const int percent = speedAfterPause(worker, *task, speeds[next]);
        worker.backfilling[next].percent = percent;
        ++next;
        if (task->phase != RunPhase::Running) {
            continue;
        }
        if (std::abs(percent - task->speedPercent) >= MinimumSpeedChangePercent
            || (percent != task->speedPercent && (percent == 0 || percent == 100))) {
            sendThrottle(*task, percent);
        }
        noteWork(*task);
        if (requeueIfPaused(*task, percent)) {
            continue;
        }
        if (percent >= SlowPercent) {
            task->slowedSince.reset();
        } else if (!task->slowedSince) {
            task->slowedSince = now;
        }
        const bool pausedForLong = task->pausedSince && now - *task->pausedSince >= longestPause(*task);
        const bool cheap
            = task->step->specification().checkpoints || task->percent + task->lostPercent < CheapRestartPercent;
        const bool slow = task->slowedSince && now - *task->slowedSince >= MaximumSlowedTime;
        const WorkerState *better = slow && (cheap || pausedForLong) ? choose(*task->step, *task) : nullptr;
        if (better != nullptr && better != &worker) {
            m_environment.listener.logDecision("backfill-moved", nameOf(*task).text(),
                {{"worker", worker.listing.name}, {"percent", task->percent}, {"speed_percent", percent}});
            stopForPause(*task);
        }
    }
}

void JobScheduler::stopForPause(TaskState &task)
{
    task.lostPercent += task.step->specification().checkpoints ? 0 : task.percent;
    beginStop(task);
}

bool JobScheduler::requeueIfPaused(TaskState &task, int speedPercent)
{
    if (speedPercent > 0) {
        task.pausedSince.reset();
        return false;
    }
    const Instant now = m_environment.clock.now();
    task.pausedSince = task.pausedSince.value_or(now);
    const auto pausedFor = std::chrono::duration_cast<Milliseconds>(now - *task.pausedSince);
    const bool isStarvedProbe = task.isProbe && hasNothingAtWork(*task.step->occurrence->job);
    const PausedTask paused {pausedFor, task.step->specification().checkpoints, task.percent, idleTime(task),
        isStarvedProbe, task.lostPercent};
    if (m_authority != SchedulingAuthority::Full || !m_environment.policies.pausedTasks->shouldRequeue(paused)) {
        return false;
    }
    m_environment.listener.logDecision("paused-task-requeued", nameOf(task).text(),
        {{"worker", task.worker}, {"percent", task.percent}, {"paused_ms", pausedFor.count()}});
    stopForPause(task);
    return true;
}

void JobScheduler::sendThrottle(TaskState &task, int percent)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr) {
        return;
    }
    task.speedPercent = percent;
    task.speedSetAt = m_environment.clock.now();
    task.times.begin(percent == 0 ? TaskActivity::Paused : TaskActivity::Running, m_environment.clock.now());
    const RunName name {nameOf(task), task.run};
    m_environment.gateway.throttle(
        target(*worker), name, percent, [weak = std::weak_ptr(m_self), name](const OrderAnswer &answer) {
            const auto self = weak.lock();
            if (!self || answer.outcome == OrderOutcome::Accepted) {
                return;
            }
            // The speed differs from any target now, so the next report sends the order again.
            TaskState *throttled = (*self)->findTask(name.task);
            if (throttled != nullptr && throttled->run == name.run) {
                throttled->speedPercent = -1;
            }
        });
}

}
