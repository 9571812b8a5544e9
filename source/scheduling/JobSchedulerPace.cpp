// The part of JobScheduler that learns how backfilling tasks disturb serving ones and sets their pace.
#include "scheduling/JobScheduler.h"
#include "scheduling/PaceControl.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Between reports that lie further apart the serving load itself has changed too much to learn from.
constexpr Milliseconds LongestReadingGap {1'200};
constexpr double SaturatedLoad = 0.92;
// Smaller changes of pace are not worth an order.
constexpr int LeastPaceChange = 10;
// A backfilling task that stays below this speed for this long looks for another worker, unless much would be lost.
constexpr int SlowPercent = 40;
constexpr Milliseconds SlowedTime {1'200};

}

void JobScheduler::readPressure(WorkerState &worker)
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
                {task->step->image, worker.shareOf(step), share, std::max(0, task->pacePercent)});
        }
    }
    BackfillUse change = use;
    for (const auto &[image, share] : worker.backfillUse) {
        change[image] -= share;
    }
    // Between reports that lie far apart the serving load itself has changed too much.
    const bool comparable = now - worker.readAt <= LongestReadingGap;
    worker.serving.clear();
    for (TaskState *task : worker.tasks) {
        const StepSpecification &step = task->step->specification();
        if (step.tailTarget.count() == 0 || task->phase != RunPhase::Running || task->usage <= 0) {
            continue;
        }
        const ImageId image = task->step->image;
        const double load = m_pressure.observeTail(image, task->usage);
        const double before = task->load;
        task->load = load;
        // A queue that has filled up drains for a while, whatever presses on it.
        if (comparable && before > 0.0 && load < SaturatedLoad && before < SaturatedLoad) {
            m_pressure.learn(image, change, load - before);
        }
        if (task->usage <= step.tailTarget.count()) {
            task->overSince.reset();
        } else if (!task->overSince) {
            task->overSince = now;
        }
        const auto overFor = task->overSince ? now - *task->overSince : Instant::duration::zero();
        worker.serving.push_back({image, load, m_pressure.loadAt(image, static_cast<double>(step.tailTarget.count())),
            std::chrono::duration_cast<Milliseconds>(overFor).count()});
    }
    worker.backfillUse = std::move(use);
    worker.readAt = now;
}

void JobScheduler::controlPace(WorkerState &worker)
{
    const Instant now = m_environment.clock.now();
    const std::vector<int> paces = nextPaces(m_pressure, worker.serving, worker.backfilling);
    std::size_t next = 0;
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        if (!task->step->specification().backfills) {
            continue;
        }
        const int percent = paces[next];
        worker.backfilling[next].percent = percent;
        ++next;
        if (task->phase != RunPhase::Running) {
            continue;
        }
        if (std::abs(percent - task->pacePercent) >= LeastPaceChange
            || (percent != task->pacePercent && (percent == 0 || percent == 100))) {
            sendPace(*task, percent);
        }
        if (percent >= SlowPercent) {
            task->slowedSince.reset();
        } else if (!task->slowedSince) {
            task->slowedSince = now;
        }
        const bool cheap = task->step->specification().checkpoints || task->percent < CheapPercent;
        const bool slow = task->slowedSince && now - *task->slowedSince >= SlowedTime;
        const WorkerState *better = slow && cheap ? choose(*task->step, *task) : nullptr;
        if (better != nullptr && better != &worker) {
            m_environment.listener.logDecision("backfill-moved", nameOf(*task).text(),
                {{"worker", worker.listing.name}, {"percent", task->percent}, {"pace", percent}});
            beginStop(*task);
        }
    }
}

void JobScheduler::sendPace(TaskState &task, int percent)
{
    WorkerState *worker = findWorker(task.worker);
    if (worker == nullptr) {
        return;
    }
    task.pacePercent = percent;
    const RunName name {nameOf(task), task.run};
    m_environment.gateway.throttle(
        target(*worker), name, percent, [weak = std::weak_ptr(m_self), name](const OrderAnswer &answer) {
            const auto self = weak.lock();
            if (!self || answer.outcome == OrderOutcome::Accepted) {
                return;
            }
            // The next report sends it again.
            TaskState *paced = (*self)->findTask(name.task);
            if (paced != nullptr && paced->run == name.run) {
                paced->pacePercent = -1;
            }
        });
}

}
