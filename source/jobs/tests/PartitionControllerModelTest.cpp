#include "jobs/tests/RunChecker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// One step of a generated sequence of operations and faults.
struct Step
{
    int kind = 0;
    int argument = 0;

    friend std::ostream &operator<<(std::ostream &out, const Step &step)
    {
        static const std::vector<std::string> names {"advance", "submit", "submit-once", "cancel", "evict", "take-over",
            "pause-and-take-over", "resume", "freeze", "unfreeze", "disconnect-worker", "reconnect-workers",
            "restart-worker", "store-down", "store-up", "lose-store-answers", "lose-worker-answers",
            "delay-worker-calls", "fail-all", "lose-starts", "submit-failing"};
        return out << names.at(static_cast<std::size_t>(step.kind)) << " " << step.argument;
    }
};

constexpr int KindCount = 21;
// The wall time at which the monotonic clock of the tests starts.
constexpr std::int64_t ClockEpochMilliseconds = 1'796'000'000'000;

rc::Gen<std::vector<Step>> histories()
{
    const auto kind = rc::gen::weightedOneOf<int>(
        {{8, rc::gen::just(0)}, {5, rc::gen::just(1)}, {2, rc::gen::just(2)}, {10, rc::gen::inRange(3, KindCount)}});
    const auto step = rc::gen::apply(
        [](int chosen, int argument) {
            return Step {chosen, argument};
        },
        kind, rc::gen::inRange(0, 60));
    return rc::gen::resize(60, rc::gen::container<std::vector<Step>>(step));
}

// Applies steps to a simulation.
class StepRunner
{
public:
    explicit StepRunner(PartitionSimulation &simulation) : m_simulation(simulation)
    {
    }

    void execute(const Step &step)
    {
        const std::string &address = m_simulation.workers[step.argument % PartitionSimulation::WorkerCount].address;
        SimulatedInstance &current = m_simulation.currentInstance();
        switch (step.kind) {
        case 0:
            m_simulation.advance(PartitionSimulation::Step * (1 + step.argument));
            break;
        case 1:
        case 2:
        case 20:
            m_simulation.submit("task-" + std::to_string(m_submitted++),
                step.kind == 2 ? Repeatability::AtMostOnce : Repeatability::Idempotent, 100 + 200 * step.argument,
                step.kind == 20);
            break;
        case 3:
            cancel(step.argument);
            break;
        case 4:
            if (current.controller) {
                current.controller->evict(selectTask(step.argument), "requested by the test");
            }
            break;
        case 5:
            m_simulation.takeOver();
            // Covers a new owner that cannot reach a worker which its predecessor still reaches.
            if (step.argument % 2 == 0) {
                m_simulation.currentInstance().network.cut.insert(address);
            }
            break;
        case 6:
            current.paused = true;
            m_simulation.takeOver();
            break;
        case 7:
            resumeAll();
            break;
        case 8:
            m_simulation.setFault(address, {{"frozen", true}});
            break;
        case 9:
            m_simulation.setFault(address, {{"frozen", false}});
            break;
        case 10:
            current.network.cut.insert(address);
            break;
        case 11:
            current.network.cut.clear();
            break;
        case 12:
            m_simulation.site.start(m_simulation.workers[step.argument % PartitionSimulation::WorkerCount]);
            break;
        case 13:
            current.store.down = true;
            break;
        case 14:
            current.store.down = false;
            break;
        case 15:
            current.store.loseAnswers = 1 + step.argument % 3;
            break;
        case 16:
            current.network.loseAnswers = 1 + step.argument % 3;
            break;
        case 17:
            current.network.delayCalls = 1 + step.argument % 3;
            break;
        case 18:
            m_simulation.setFault(address, {{"fail_all", step.argument % 2 == 0}});
            break;
        case 19:
            m_simulation.setFault(address, {{"lose_start_every", step.argument % 3}});
            break;
        default:
            break;
        }
    }

private:
    [[nodiscard]] std::string selectTask(int argument) const
    {
        return "task-" + std::to_string(m_submitted == 0 ? 0 : argument % m_submitted);
    }

    void cancel(int argument)
    {
        if (m_simulation.currentInstance().controller) {
            m_simulation.currentInstance().controller->cancel(selectTask(argument), [](const Result<TaskEntry> &) {});
        }
    }

    void resumeAll()
    {
        for (const auto &instance : m_simulation.instances) {
            instance->paused = false;
        }
    }

    PartitionSimulation &m_simulation;
    int m_submitted = 0;
};

// Checks that every acknowledged task has finished and that the recorded phases match the runs.
std::string checkEnds(PartitionSimulation &simulation, const std::vector<TaskRun> &runs)
{
    const PartitionController *controller = simulation.currentInstance().controller.get();
    if (controller == nullptr) {
        return "the partition has no owner";
    }
    for (const std::string &task : simulation.acknowledgedTasks) {
        const TaskEntry *entry = controller->table().find(task);
        if (entry == nullptr) {
            return task + " was acknowledged and is lost";
        }
        if (!isFinal(entry->phase)) {
            return task + " has not finished: " + std::string(nameOf(entry->phase)) + ", " + controller->explain(task);
        }
        // A task may run again if its lease expired before its result was known, but not once its end is recorded.
        const bool late = std::ranges::any_of(runs, [&](const TaskRun &run) {
            return run.task == task
                && (run.attempt > entry->attempt || run.started > entry->finishedAt - ClockEpochMilliseconds);
        });
        if (late) {
            return task + " ran after its end was recorded";
        }
        const bool ran = std::ranges::any_of(
            runs, [&task](const TaskRun &run) { return run.task == task && run.state == "done"; });
        if ((entry->phase == TaskPhase::Done) && !ran) {
            return task + " is recorded as done but no run of it finished";
        }
    }
    return {};
}

}

// Under random operations and faults no task runs on two workers at once and no acknowledged task is lost.
RC_GTEST_PROP(PartitionControllerModel, noTaskRunsTwiceAndNoneIsLost, ())
{
    const std::vector<Step> steps = *histories();
    PartitionSimulation simulation;
    StepRunner runner(simulation);
    simulation.advance(Milliseconds(500));
    for (const Step &step : steps) {
        runner.execute(step);
        simulation.advance(PartitionSimulation::Step);
    }
    simulation.recoverAndFinish();
    const std::vector<TaskRun> runs = collectRuns(simulation);
    for (const auto &instance : simulation.instances) {
        for (const TimelineEvent &event : instance->timeline.select({})) {
            RC_LOG() << writeJson(describe(event)) << "\n";
        }
    }
    const std::string runViolation = checkRuns(simulation, runs);
    RC_LOG() << runViolation << "\n";
    RC_ASSERT(runViolation.empty());
    const std::vector<std::string> breaches = simulation.breaches();
    RC_LOG() << (breaches.empty() ? "" : breaches.front()) << "\n";
    RC_ASSERT(breaches.empty());
    const std::string endViolation = checkEnds(simulation, runs);
    RC_LOG() << endViolation << "\n";
    RC_ASSERT(endViolation.empty());
}

// The tasks of a lost worker are reassigned even if its lease expired before the new owner had recovered the log.
TEST(PartitionController, reassignsTasksOfAWorkerLostDuringTakeOver)
{
    PartitionSimulation simulation;
    simulation.advance(Milliseconds(1'500));
    simulation.submit("task-0", Repeatability::Idempotent, 60'000, false);
    simulation.advance(Milliseconds(2'000));
    const std::string worker = simulation.currentInstance().controller->table().find("task-0")->worker;
    ASSERT_FALSE(worker.empty());
    const std::string address = simulation.currentInstance().controller->fleet().find(worker)->description.address;
    simulation.currentInstance().paused = true;
    simulation.takeOver();
    simulation.currentInstance().network.cut.insert(address);
    simulation.currentInstance().store.down = true;
    simulation.advance(Milliseconds(20'000));
    simulation.currentInstance().store.down = false;
    simulation.advance(Milliseconds(5'000));
    const TaskEntry *entry = simulation.currentInstance().controller->table().find("task-0");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->attempt, 2U);
    EXPECT_NE(entry->worker, worker);
}

// A start call that arrives after its worker was lost and reached again must not run the task, which has been assigned
// to another worker meanwhile.
TEST(PartitionController, delayedStartDoesNotRunAfterWorkerWasLost)
{
    PartitionSimulation simulation;
    simulation.advance(Milliseconds(1'500));
    simulation.currentInstance().network.slowPaths["/v1/tasks"] = Milliseconds(9'000);
    simulation.submit("task-0", Repeatability::Idempotent, 60'000, false);
    simulation.advance(Milliseconds(500));
    const std::string worker = simulation.currentInstance().controller->table().find("task-0")->worker;
    ASSERT_FALSE(worker.empty());
    const std::string address = simulation.currentInstance().controller->fleet().find(worker)->description.address;
    simulation.currentInstance().network.slowPaths.clear();
    simulation.currentInstance().network.cut.insert(address);
    simulation.advance(Milliseconds(6'500));
    ASSERT_EQ(simulation.currentInstance().controller->table().find("task-0")->attempt, 2U);
    simulation.currentInstance().network.cut.clear();
    simulation.advance(Milliseconds(4'000));
    EXPECT_EQ(checkRuns(simulation, collectRuns(simulation)), "");
    EXPECT_EQ(collectRuns(simulation).size(), 1U);
}

// A team's running tasks stay within its quota less its usage in other partitions, and all of them finish.
RC_GTEST_PROP(PartitionControllerModel, keepsTeamsWithinTheirQuota, ())
{
    constexpr std::int64_t TaskMilliCores = 1500;
    PartitionSimulation simulation;
    const int allowed = *rc::gen::inRange(1, 4);
    const int elsewhere = *rc::gen::inRange(0, 3);
    simulation.quotas.limit = Resources {TaskMilliCores * (allowed + elsewhere), 1'000'000, 0};
    simulation.quotas.elsewhere = {TaskMilliCores * elsewhere, 0, 0};
    simulation.advance(Milliseconds(1'500));
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
        simulation.submit("task-" + std::to_string(i), Repeatability::Idempotent, 400, false);
    }
    for (int round = 0; round < 200; ++round) {
        simulation.advance(PartitionSimulation::Step);
        std::size_t running = 0;
        for (const auto &worker : simulation.site.all()) {
            running += worker->history()["running"].size();
        }
        RC_ASSERT(running <= static_cast<std::size_t>(allowed));
    }
    simulation.recoverAndFinish();
    RC_ASSERT(simulation.acknowledgedTasks.size() == static_cast<std::size_t>(count));
    RC_ASSERT(simulation.allTasksFinished());
}

}
