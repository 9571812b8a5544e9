#include "jobs/tests/RunChecker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// One step of a generated history.
struct Step
{
    int kind = 0;
    int argument = 0;

    friend std::ostream &operator<<(std::ostream &out, const Step &step)
    {
        static const std::vector<std::string> names {"advance", "submit", "submit-once", "cancel", "evict", "take-over",
            "pause-and-take-over", "resume", "freeze", "thaw", "cut", "heal", "restart-worker", "store-down",
            "store-up", "lose-store-answers", "lose-worker-answers", "delay-worker-calls", "fail-all", "lose-starts",
            "submit-failing"};
        return out << names.at(static_cast<std::size_t>(step.kind)) << " " << step.argument;
    }
};

constexpr int KindCount = 21;
// The wall time at which the monotonic clock of the tests began.
constexpr std::int64_t FirstDay = 1'796'000'000'000;

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

// Plays the steps of a history.
class Player
{
public:
    explicit Player(KeeperWorld &world) : m_world(world)
    {
    }

    void play(const Step &step)
    {
        const std::string &address = m_world.workers[step.argument % KeeperWorld::WorkerCount].address;
        KeeperInstance &present = m_world.present();
        switch (step.kind) {
        case 0:
            m_world.advance(KeeperWorld::Step * (1 + step.argument));
            break;
        case 1:
        case 2:
        case 20:
            m_world.submit("task-" + std::to_string(m_submitted++),
                step.kind == 2 ? Repeatability::AtMostOnce : Repeatability::Idempotent, 100 + 200 * step.argument,
                step.kind == 20);
            break;
        case 3:
            cancel(step.argument);
            break;
        case 4:
            if (present.keeper) {
                present.keeper->evict(someTask(step.argument), "the test wants it");
            }
            break;
        case 5:
            m_world.takeOver();
            // The successor may not reach a worker that its predecessor still reaches.
            if (step.argument % 2 == 0) {
                m_world.present().network.cut.insert(address);
            }
            break;
        case 6:
            present.paused = true;
            m_world.takeOver();
            break;
        case 7:
            resumeAll();
            break;
        case 8:
            m_world.setFault(address, {{"frozen", true}});
            break;
        case 9:
            m_world.setFault(address, {{"frozen", false}});
            break;
        case 10:
            present.network.cut.insert(address);
            break;
        case 11:
            present.network.cut.clear();
            break;
        case 12:
            m_world.site.start(m_world.workers[step.argument % KeeperWorld::WorkerCount]);
            break;
        case 13:
            present.store.down = true;
            break;
        case 14:
            present.store.down = false;
            break;
        case 15:
            present.store.loseAnswers = 1 + step.argument % 3;
            break;
        case 16:
            present.network.loseAnswers = 1 + step.argument % 3;
            break;
        case 17:
            present.network.delayCalls = 1 + step.argument % 3;
            break;
        case 18:
            m_world.setFault(address, {{"fail_all", step.argument % 2 == 0}});
            break;
        case 19:
            m_world.setFault(address, {{"lose_start_every", step.argument % 3}});
            break;
        default:
            break;
        }
    }

private:
    [[nodiscard]] std::string someTask(int argument) const
    {
        return "task-" + std::to_string(m_submitted == 0 ? 0 : argument % m_submitted);
    }

    void cancel(int argument)
    {
        if (m_world.present().keeper) {
            m_world.present().keeper->cancel(someTask(argument), [](const Result<TaskEntry> &) {});
        }
    }

    void resumeAll()
    {
        for (const auto &instance : m_world.instances) {
            instance->paused = false;
        }
    }

    KeeperWorld &m_world;
    int m_submitted = 0;
};

// Every acknowledged task has come to an end, and the table tells the truth about the runs.
std::string checkEnds(KeeperWorld &world, const std::vector<TaskRun> &runs)
{
    const PartitionController *keeper = world.present().keeper.get();
    if (keeper == nullptr) {
        return "nobody keeps the partition";
    }
    for (const std::string &task : world.acknowledged) {
        const TaskEntry *entry = keeper->table().find(task);
        if (entry == nullptr) {
            return task + " was acknowledged and is lost";
        }
        if (!isFinal(entry->phase)) {
            return task + " has not come to an end: " + std::string(nameOf(entry->phase)) + ", "
                + keeper->explain(task);
        }
        // A task may run again when its lease ran out before its result was known, but never once an end is recorded.
        const bool late = std::ranges::any_of(runs, [&](const TaskRun &run) {
            return run.task == task && (run.attempt > entry->attempt || run.started > entry->finishedAt - FirstDay);
        });
        if (late) {
            return task + " ran after its end was recorded";
        }
        const bool ran = std::ranges::any_of(
            runs, [&task](const TaskRun &run) { return run.task == task && run.state == "done"; });
        if ((entry->phase == TaskPhase::Done) && !ran) {
            return task + " is called done but never finished";
        }
    }
    return {};
}

}

RC_GTEST_PROP(PartitionKeeperModel, noTaskRunsTwiceAndNoneIsLost, ())
{
    const std::vector<Step> steps = *histories();
    KeeperWorld world;
    Player player(world);
    world.advance(Milliseconds(500));
    for (const Step &step : steps) {
        player.play(step);
        world.advance(KeeperWorld::Step);
    }
    world.settle();
    const std::vector<TaskRun> runs = collectRuns(world);
    for (const auto &instance : world.instances) {
        for (const TimelineEvent &event : instance->timeline.select({})) {
            RC_LOG() << writeJson(describe(event)) << "\n";
        }
    }
    const std::string twice = checkRuns(world, runs);
    RC_LOG() << twice << "\n";
    RC_ASSERT(twice.empty());
    const std::vector<std::string> breaches = world.breaches();
    RC_LOG() << (breaches.empty() ? "" : breaches.front()) << "\n";
    RC_ASSERT(breaches.empty());
    const std::string unended = checkEnds(world, runs);
    RC_LOG() << unended << "\n";
    RC_ASSERT(unended.empty());
}

// A worker whose leases ran out before the successor had read the log back gives its tasks back all the same.
TEST(PartitionController, replacesWorkOfAWorkerThatWasLostDuringTheTakeOver)
{
    KeeperWorld world;
    world.advance(Milliseconds(1'500));
    world.submit("task-0", Repeatability::Idempotent, 60'000, false);
    world.advance(Milliseconds(2'000));
    const std::string worker = world.present().keeper->table().find("task-0")->worker;
    ASSERT_FALSE(worker.empty());
    const std::string address = world.present().keeper->fleet().find(worker)->description.address;
    world.present().paused = true;
    world.takeOver();
    world.present().network.cut.insert(address);
    world.present().store.down = true;
    world.advance(Milliseconds(20'000));
    world.present().store.down = false;
    world.advance(Milliseconds(5'000));
    const TaskEntry *entry = world.present().keeper->table().find("task-0");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->attempt, 2U);
    EXPECT_NE(entry->worker, worker);
}

// A start that arrives after its worker was lost and met again runs nothing, since the task runs elsewhere by then.
TEST(PartitionController, refusesAStartThatOutlastedTheLossOfItsWorker)
{
    KeeperWorld world;
    world.advance(Milliseconds(1'500));
    world.present().network.slowPaths["/v1/tasks"] = Milliseconds(9'000);
    world.submit("task-0", Repeatability::Idempotent, 60'000, false);
    world.advance(Milliseconds(500));
    const std::string worker = world.present().keeper->table().find("task-0")->worker;
    ASSERT_FALSE(worker.empty());
    const std::string address = world.present().keeper->fleet().find(worker)->description.address;
    world.present().network.slowPaths.clear();
    world.present().network.cut.insert(address);
    world.advance(Milliseconds(6'500));
    ASSERT_EQ(world.present().keeper->table().find("task-0")->attempt, 2U);
    world.present().network.cut.clear();
    world.advance(Milliseconds(4'000));
    EXPECT_EQ(checkRuns(world, collectRuns(world)), "");
    EXPECT_EQ(collectRuns(world).size(), 1U);
}

// A team's tasks never hold more than its quota less what it holds elsewhere, and all of them run in the end.
RC_GTEST_PROP(PartitionKeeperModel, keepsTeamsWithinTheirQuota, ())
{
    constexpr std::int64_t TaskMilliCores = 1500;
    KeeperWorld world;
    const int allowed = *rc::gen::inRange(1, 4);
    const int elsewhere = *rc::gen::inRange(0, 3);
    world.quotas.limit = Resources {TaskMilliCores * (allowed + elsewhere), 1'000'000, 0};
    world.quotas.elsewhere = {TaskMilliCores * elsewhere, 0, 0};
    world.advance(Milliseconds(1'500));
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
        world.submit("task-" + std::to_string(i), Repeatability::Idempotent, 400, false);
    }
    for (int round = 0; round < 200; ++round) {
        world.advance(KeeperWorld::Step);
        std::size_t running = 0;
        for (const auto &worker : world.site.all()) {
            running += worker->history()["running"].size();
        }
        RC_ASSERT(running <= static_cast<std::size_t>(allowed));
    }
    world.settle();
    RC_ASSERT(world.acknowledged.size() == static_cast<std::size_t>(count));
    RC_ASSERT(world.isAtRest());
}

}
