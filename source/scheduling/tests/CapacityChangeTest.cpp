#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"
#include "testing/FakeWorkers.h"
#include "testing/LeaseRecords.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Milliseconds ShortWhile {300};

StepSpecification stepWith(Resources demand, int count = 1)
{
    StepSpecification step;
    step.count = count;
    step.demand = demand;
    step.estimate = Second;
    step.image = "batch";
    return step;
}

StepSpecification lastingStepWith(Resources demand)
{
    StepSpecification step = stepWith(demand);
    step.longRunning = true;
    return step;
}

// One JobScheduler and workers whose capacity changes while they run. The fake workers start whatever they are told to.
class CapacityHarness final : private JobSchedulerListener
{
public:
    CapacityHarness()
        : workers(clock)
        , m_scheduler(clock)
        , gateway(workers, m_scheduler)
        , jobs({clock, m_scheduler, gateway, *this, nullptr, {}}, limits(), 1, 0)
    {
    }

    void addWorker(const std::string &name, Resources capacity)
    {
        WorkerListing listing {name, name + ":1", "pool", "depot", "rack", {}, capacity, 1, false};
        workers.add(listing);
        m_listings[name] = listing;
        jobs.updateWorker(listing);
        storeLeaseRecord(jobs);
        advance(ShortWhile);
    }

    void changeCapacity(const std::string &name, Resources capacity)
    {
        m_listings.at(name).capacity = capacity;
        jobs.updateWorker(m_listings.at(name));
    }

    // Lists a worker that has come back after a crash.
    void listRestarted(const std::string &name)
    {
        m_listings.at(name).incarnation = workers.incarnationOf(name);
        jobs.updateWorker(m_listings.at(name));
    }

    void beginDrain(const std::string &name)
    {
        m_listings.at(name).draining = true;
        jobs.updateWorker(m_listings.at(name));
    }

    void submit(const std::string &id, const StepSpecification &step, FakeWorkers::Behaviour behaviour)
    {
        JobSpecification job;
        job.id = id;
        job.queue = "queue";
        job.steps = {step};
        workers.setBehaviour(id, std::move(behaviour));
        jobs.add(job, {"queue", "pool", 0, 3, 2.0, Second, false}, clock.wallMilliseconds());
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds Step {20};
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            m_scheduler.advance(Step, Step);
            workers.advance();
            if (!isStoreAway) {
                jobs.onRunEndsRecorded(jobs.appliedRunEnds());
                jobs.onStartsRecorded(jobs.heldStarts());
            }
            m_untilTick -= Step;
            if (m_untilTick.count() <= 0) {
                m_untilTick = JobScheduler::TickPeriod;
                jobs.tick();
            }
        }
    }

    [[nodiscard]] const WorkerState &worker(const std::string &name) const
    {
        return jobs.workers().at(name);
    }

    [[nodiscard]] std::size_t startsOf(const std::string &job, int task = 0) const
    {
        return workers.startCount({job, 0, 0, task});
    }

    // Returns the inputs of the logged decisions with the given name.
    [[nodiscard]] std::vector<Json> decisions(const std::string &event) const
    {
        const auto found = m_decisions.find(event);
        return found == m_decisions.end() ? std::vector<Json>() : found->second;
    }

    ManualClock clock;
    FakeWorkers workers;
    bool isStoreAway = false;

private:
    static SchedulingLimits limits()
    {
        SchedulingLimits limits;
        limits.lease = Second * 2;
        return limits;
    }

    void progressChanged(const std::string &) override
    {
    }

    void runEndsReported() override
    {
    }

    void startHeldBack(const std::string &) override
    {
    }

    void tokenRefused(const std::string &) override
    {
    }

    void delegatedTaskCrashed(const std::string &, const std::string &) override
    {
    }

    void delegatedTaskGivenUp(const std::string &) override
    {
    }

    void logDecision(std::string_view event, const std::string &, const Json &inputs) override
    {
        m_decisions[std::string(event)].push_back(inputs);
    }

    std::map<std::string, std::vector<Json>> m_decisions;
    std::map<std::string, WorkerListing> m_listings;
    ManualScheduler m_scheduler;
    Milliseconds m_untilTick {0};

public:
    FakeWorkerGateway gateway;
    JobScheduler jobs;
};

const FakeWorkers::Behaviour Lasting {Second, 0, true};
const FakeWorkers::Behaviour Short {Second, 0, false};

}

// Guards against a start that brings a worker over a capacity that has shrunk in any resource.
TEST(CapacityChange, startsNothingOnAWorkerThatRunsMoreThanItHas)
{
    for (const Resources &shrunk :
        {Resources {3'000, 8'000, 2}, Resources {8'000, 3'000, 2}, Resources {8'000, 8'000, 0}}) {
        CapacityHarness harness;
        harness.addWorker("worker", {8'000, 8'000, 2});
        harness.submit("watch", lastingStepWith({4'000, 4'000, 1}), Lasting);
        harness.advance(Second);
        harness.changeCapacity("worker", shrunk);
        harness.submit("small", stepWith({100, 100, 0}), Short);
        harness.advance(Second * 6);
        EXPECT_EQ(harness.startsOf("small"), 0U);
        EXPECT_EQ(harness.workers.runningCount(), 1U) << "what runs goes on";
        harness.changeCapacity("worker", {8'000, 8'000, 2});
        harness.advance(Second);
        EXPECT_EQ(harness.startsOf("small"), 1U);
    }
}

// Guards against a start that waited for the store to record it while its worker's capacity shrank.
TEST(CapacityChange, sendsNoHeldStartToAWorkerThatHasShrunkMeanwhile)
{
    CapacityHarness harness;
    harness.addWorker("worker", {8'000, 8'000, 0});
    harness.workers.setRecovery("worker", {});
    harness.submit("watch", lastingStepWith({4'000, 4'000, 0}), Lasting);
    harness.advance(Second);
    harness.workers.crash("worker");
    harness.isStoreAway = true;
    harness.advance(Second * 6);
    harness.listRestarted("worker");
    harness.advance(Second * 2);
    ASSERT_EQ(harness.jobs.heldStarts().size(), 1U);
    harness.changeCapacity("worker", {3'000, 8'000, 0});
    harness.isStoreAway = false;
    harness.advance(Second * 2);
    EXPECT_EQ(harness.startsOf("watch"), 1U);
    harness.changeCapacity("worker", {8'000, 8'000, 0});
    harness.advance(Second * 2);
    EXPECT_EQ(harness.startsOf("watch"), 2U);
}

// Guards against backfilling tasks, whose processors do not count, on a worker that is over its capacity.
TEST(CapacityChange, startsNoBackfillingTaskOnAWorkerThatRunsMoreThanItHas)
{
    CapacityHarness harness;
    harness.addWorker("worker", {8'000, 8'000, 0});
    harness.submit("watch", lastingStepWith({4'000, 4'000, 0}), Lasting);
    harness.advance(Second);
    harness.changeCapacity("worker", {3'000, 8'000, 0});
    StepSpecification backfilling = stepWith({500, 100, 0});
    backfilling.backfills = true;
    harness.submit("backfill", backfilling, Short);
    harness.advance(Second * 4);
    EXPECT_EQ(harness.startsOf("backfill"), 0U);
}

// Guards against counting a run as gone while the worker has not confirmed its end.
TEST(CapacityChange, countsWhatIsBeingStopped)
{
    CapacityHarness harness;
    harness.addWorker("worker", {4'000, 8'000, 0});
    harness.submit("watch", lastingStepWith({2'000, 1'000, 0}), Lasting);
    harness.advance(Second);
    harness.changeCapacity("worker", {2'000, 8'000, 0});
    harness.submit("next", stepWith({2'000, 1'000, 0}), Short);
    harness.gateway.lateOrders = 1;
    EXPECT_TRUE(harness.jobs.cancel("watch"));
    harness.advance(Milliseconds(400));
    EXPECT_EQ(harness.worker("worker").used.milliCores, 2'000);
    EXPECT_EQ(harness.startsOf("next"), 0U);
    harness.advance(Second * 2);
    EXPECT_EQ(harness.startsOf("next"), 1U);
}

// Guards against the repetition of an unanswered start that was placed when the worker was larger.
TEST(CapacityChange, withdrawsAnUnansweredStartThatNoLongerFits)
{
    CapacityHarness harness;
    harness.addWorker("worker", {4'000, 8'000, 0});
    harness.gateway.cutWorkers = {"worker"};
    harness.submit("job", stepWith({2'000, 1'000, 0}), Short);
    harness.advance(ShortWhile);
    harness.changeCapacity("worker", {1'000, 8'000, 0});
    harness.advance(Second);
    harness.gateway.cutWorkers.clear();
    harness.advance(Second * 2);
    EXPECT_EQ(harness.worker("worker").used, Resources());
    EXPECT_EQ(harness.startsOf("job"), 0U);
    harness.addWorker("other", {4'000, 8'000, 0});
    EXPECT_EQ(harness.startsOf("job"), 1U);
    EXPECT_EQ(harness.decisions("start-withdrawn").size(), 1U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

// Guards against a start that reaches the worker late, after it was withdrawn and the task runs elsewhere.
TEST(CapacityChange, keepsALateStartFromRunningBesideItsReplacement)
{
    CapacityHarness harness;
    harness.addWorker("worker", {4'000, 8'000, 0});
    harness.gateway.lateOrders = 1;
    harness.submit("job", lastingStepWith({2'000, 1'000, 0}), Lasting);
    harness.advance(ShortWhile);
    harness.changeCapacity("worker", {1'000, 8'000, 0});
    harness.addWorker("other", {4'000, 8'000, 0});
    harness.advance(Second * 6);
    EXPECT_EQ(harness.startsOf("job"), 1U);
    EXPECT_EQ(harness.worker("other").tasks.size(), 1U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

// Guards against members of a gang that wait in vain for one whose start was withdrawn.
TEST(CapacityChange, withdrawsAGangAsAWhole)
{
    CapacityHarness harness;
    harness.addWorker("a", {4'000, 8'000, 0});
    harness.addWorker("b", {4'000, 8'000, 0});
    harness.gateway.cutWorkers = {"b"};
    StepSpecification gang = stepWith({3'000, 1'000, 0}, 2);
    gang.gang = true;
    harness.submit("gang", gang, {Second * 60, 0, false});
    harness.advance(ShortWhile);
    harness.changeCapacity("b", {1'000, 8'000, 0});
    harness.advance(Second);
    harness.gateway.cutWorkers.clear();
    harness.advance(Second * 2);
    EXPECT_EQ(harness.startsOf("gang", 1), 0U);
    EXPECT_EQ(harness.workers.runningCount(), 0U);
    harness.changeCapacity("b", {4'000, 8'000, 0});
    harness.advance(Second);
    EXPECT_EQ(harness.workers.runningCount(), 2U);
}

// Guards against repeated starts on a worker that began to drain after the start was sent.
TEST(CapacityChange, withdrawsAnUnansweredStartFromADrainingWorker)
{
    CapacityHarness harness;
    harness.addWorker("worker", {4'000, 8'000, 0});
    harness.gateway.cutWorkers = {"worker"};
    harness.submit("job", stepWith({2'000, 1'000, 0}), Short);
    harness.advance(ShortWhile);
    harness.beginDrain("worker");
    harness.advance(Second);
    harness.gateway.cutWorkers.clear();
    harness.advance(Second * 2);
    EXPECT_EQ(harness.startsOf("job"), 0U);
}

// Guards against a new owner that starts tasks on a worker before it counts what runs there, or by an earlier capacity.
TEST(CapacityChange, countsInheritedRunsAgainstThePresentCapacity)
{
    CapacityHarness former;
    former.addWorker("worker", {4'000, 8'000, 0});
    former.submit("watch", lastingStepWith({2'000, 1'000, 0}), Lasting);
    former.advance(Second);
    ASSERT_EQ(former.startsOf("watch"), 1U);
    WorkerListing listing = former.worker("worker").listing;
    listing.capacity = {3'000, 8'000, 0};

    ManualScheduler scheduler(former.clock);
    FakeWorkerGateway gateway(former.workers, scheduler);
    class Listener final : public JobSchedulerListener
    {
        void progressChanged(const std::string &) override
        {
        }
        void runEndsReported() override
        {
        }
        void startHeldBack(const std::string &) override
        {
        }
        void tokenRefused(const std::string &) override
        {
        }
        void delegatedTaskCrashed(const std::string &, const std::string &) override
        {
        }
        void delegatedTaskGivenUp(const std::string &) override
        {
        }
        void logDecision(std::string_view, const std::string &, const Json &) override
        {
        }
    } listener;
    SchedulingLimits limits;
    limits.lease = Second * 2;
    JobScheduler jobs({former.clock, scheduler, gateway, listener}, limits, 2, 1);
    // The record of lease holders has no capacity.
    const WorkerListing recorded {"worker", "worker:1", "pool", {}, {}, {}, {}, 1, false};
    jobs.beginRecovery({{recorded}, Second * 2, 0, {}}, {former.clock.now(), Milliseconds(0), Second * 2});
    const QueuePolicy policy {"queue", "pool", 0, 3, 2.0, Second, false};
    JobSpecification watch;
    watch.id = "watch";
    watch.queue = "queue";
    watch.steps = {lastingStepWith({2'000, 1'000, 0})};
    jobs.restore(watch, policy, former.clock.wallMilliseconds(), Json::object());
    JobSpecification next = watch;
    next.id = "next";
    former.workers.setBehaviour("next", Lasting);
    jobs.add(next, policy, former.clock.wallMilliseconds());
    const auto advance = [&](Milliseconds duration) {
        for (Milliseconds passed {0}; passed < duration; passed += JobScheduler::TickPeriod) {
            scheduler.advance(JobScheduler::TickPeriod, Milliseconds(20));
            former.workers.advance();
            jobs.tick();
        }
    };
    advance(Second);
    EXPECT_EQ(jobs.workers().at("worker").used.milliCores, 2'000);
    EXPECT_EQ(former.startsOf("next"), 0U) << "the worker is known from the record only";
    jobs.updateWorker(listing);
    advance(Second);
    EXPECT_EQ(former.startsOf("next"), 0U);
    listing.capacity = {4'000, 8'000, 0};
    jobs.updateWorker(listing);
    advance(Second);
    EXPECT_EQ(former.startsOf("next"), 1U);
    EXPECT_EQ(former.workers.violations(), std::vector<std::string>());
}

// Guards against learning that a backfilling task disturbs a serving one from a change of the worker's size alone.
TEST(CapacityChange, learnsNothingFromSharesOfDifferentCapacities)
{
    CapacityHarness harness;
    harness.addWorker("worker", {8'000, 16'000, 0});
    StepSpecification serving = lastingStepWith({2'000, 1'000, 0});
    serving.image = "pump";
    serving.tailTarget = Milliseconds(100);
    std::int64_t tail = 20;
    harness.submit("watch", serving, {Second, 0, true, [&tail](Instant) {
                                          return tail;
                                      }});
    harness.advance(Second);
    StepSpecification backfilling = stepWith({2'000, 1'000, 0});
    backfilling.backfills = true;
    harness.submit("backfill", backfilling, {Second * 60, 0, false, [](Instant) {
                                                 return std::int64_t {2'000};
                                             }});
    harness.advance(Second * 2);
    ASSERT_EQ(harness.startsOf("backfill"), 1U);
    const Json before = harness.jobs.interferenceModel().describe()["pairs"];
    harness.changeCapacity("worker", {4'000, 16'000, 0});
    tail = 22;
    harness.advance(Milliseconds(600));
    EXPECT_EQ(harness.jobs.interferenceModel().describe()["pairs"], before);
}

// Guards against placement beside a serving task by shares of the capacity that the worker had before.
TEST(CapacityChange, scalesTheSharesOfBackfillingTasks)
{
    WorkerState worker;
    worker.listing.capacity = {8'000, 8'000, 0};
    worker.backfilling = {{1, 0.25, 0.125, 100}};
    WorkerListing shrunk = worker.listing;
    shrunk.capacity = {4'000, 8'000, 0};
    worker.updateListing(shrunk);
    EXPECT_DOUBLE_EQ(worker.backfilling[0].demand, 0.5);
    EXPECT_DOUBLE_EQ(worker.backfilling[0].use, 0.25);
    shrunk.capacity = {0, 0, 0};
    worker.updateListing(shrunk);
    EXPECT_DOUBLE_EQ(worker.backfilling[0].demand, 2'000.0);
}

// Guards against headroom on a worker whose long-running tasks need more memory than it has.
TEST(CapacityChange, countsNoHeadroomOnAWorkerThatLacksAnyResource)
{
    CapacityHarness harness;
    harness.addWorker("worker", {8'000, 8'000, 0});
    harness.submit("watch", lastingStepWith({1'000, 6'000, 0}), Lasting);
    harness.advance(Second);
    EXPECT_EQ(harness.jobs.headrooms().at("pool").freeBesideLongRunning, 7'000);
    harness.changeCapacity("worker", {8'000, 4'000, 0});
    const PoolHeadroom headroom = harness.jobs.headrooms().at("pool");
    EXPECT_EQ(headroom.freeBesideLongRunning, 0);
    EXPECT_EQ(headroom.freeForBatch, 0);
    EXPECT_EQ(headroom.largestGap, Resources());
}

// Guards against changes of capacity that the log does not explain.
TEST(CapacityChange, isLoggedOnceWithWhatIsInUse)
{
    CapacityHarness harness;
    harness.addWorker("worker", {4'000, 8'000, 0});
    harness.submit("watch", lastingStepWith({2'000, 1'000, 0}), Lasting);
    harness.advance(Second);
    EXPECT_TRUE(harness.decisions("worker-capacity-changed").empty());
    harness.changeCapacity("worker", {1'000, 8'000, 0});
    harness.changeCapacity("worker", {1'000, 8'000, 0});
    const std::vector<Json> changes = harness.decisions("worker-capacity-changed");
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0]["previous"]["millicores"], 4'000);
    EXPECT_EQ(changes[0]["capacity"]["millicores"], 1'000);
    EXPECT_EQ(changes[0]["used"]["millicores"], 2'000);
    EXPECT_EQ(changes[0]["over_capacity"], true);
}

}
