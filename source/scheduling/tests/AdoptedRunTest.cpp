#include "scheduling/JobScheduler.h"
#include "testing/FakeWorkers.h"
#include "testing/LeaseRecords.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Milliseconds RunDuration {600};
constexpr Milliseconds Lease = Second * 2;
constexpr Milliseconds OwnerLease = Second * 3;
constexpr FencingToken EarlierToken = 1;
constexpr FencingToken Token = 2;

class QuietListener : public JobSchedulerListener
{
public:
    MOCK_METHOD(void, progressChanged, (const std::string &), (override));
    MOCK_METHOD(void, runEndsReported, (), (override));
    MOCK_METHOD(void, startHeldBack, (const std::string &), (override));
    MOCK_METHOD(void, tokenRefused, (const std::string &), (override));
    MOCK_METHOD(void, delegatedTaskCrashed, (const std::string &, const std::string &), (override));
    MOCK_METHOD(void, delegatedTaskGivenUp, (const std::string &), (override));
    MOCK_METHOD(void, logDecision, (std::string_view, const std::string &, const Json &), (override));
};

// The owner of a new term that reaches one of two workers. An earlier owner, which may still start tasks on the other
// one, has started the first task of a job on the worker that is reached.
class AdoptedRun : public testing::Test
{
protected:
    AdoptedRun() : m_workers(m_clock), m_scheduler(m_clock), m_gateway(m_workers, m_scheduler)
    {
        for (const char *name : {"heard", "unheard"}) {
            m_workers.add({name, std::string(name) + ":1", "pool", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false});
        }
        m_gateway.cutWorkers.insert("unheard");
    }

    void takeOver(const std::vector<StepSpecification> &steps, FakeWorkers::Behaviour behaviour)
    {
        JobSpecification job;
        job.id = First.job;
        job.queue = "queue";
        job.steps = steps;
        m_workers.setBehaviour(job.id, std::move(behaviour));
        const auto leaseUntil = (OwnerLease + Lease).count();
        ASSERT_EQ(m_workers.start("heard", EarlierToken, {{First, 1}, {}, {}, {}, leaseUntil}).outcome,
            OrderOutcome::Accepted);
        SchedulingLimits limits;
        limits.lease = Lease;
        limits.longestLease = Lease;
        m_jobs.emplace(
            JobScheduler::Environment {m_clock, m_scheduler, m_gateway, m_listener, nullptr, {}}, limits, Token, 1);
        LeaseHolderRecord record;
        for (const auto &[name, listing] : m_workers.listings()) {
            record.workers.push_back(listing);
        }
        record.leaseDuration = Lease;
        record.namesAllHolders = true;
        m_jobs->beginRecovery(record, {m_clock.now(), OwnerLease, Lease});
        m_jobs->restore(job, {"queue", "pool", 0, 3, 2.0, Second, false}, m_clock.wallMilliseconds(), Json::object());
        for (const auto &[name, listing] : m_workers.listings()) {
            m_jobs->updateWorker(listing);
        }
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds Step {20};
        for (Milliseconds passed {0}; passed < duration; passed += JobScheduler::TickPeriod) {
            m_scheduler.advance(JobScheduler::TickPeriod, Step);
            m_workers.advance();
            storeLeaseRecord(*m_jobs);
            m_jobs->onRunEndsRecorded(m_jobs->appliedRunEnds());
            m_jobs->onStartsRecorded(m_jobs->heldStarts());
            m_jobs->tick();
        }
    }

    static StepSpecification stepAfter(std::vector<int> after)
    {
        StepSpecification step;
        step.count = 1;
        step.demand = {1'000, 1'000, 0};
        step.estimate = RunDuration;
        step.after = std::move(after);
        return step;
    }

    inline static const TaskName First {"job", 0, 0, 0};

    ManualClock m_clock;
    FakeWorkers m_workers;
    ManualScheduler m_scheduler;
    FakeWorkerGateway m_gateway;
    testing::NiceMock<QuietListener> m_listener;
    std::optional<JobScheduler> m_jobs;
};

}

// An earlier owner whose report request still waited at the worker learned of the end as well and started the task on a
// worker that the new owner had not heard, so that it ran twice.
TEST_F(AdoptedRun, isNotFollowedByAnotherOneThatAnEarlierOwnerMayHaveStarted)
{
    takeOver({stepAfter({})}, {RunDuration, 1, false});
    advance(Second * 2);
    EXPECT_EQ(m_workers.startCount(First), 1U);
    m_gateway.cutWorkers.clear();
    advance(Second);
    EXPECT_EQ(m_workers.startCount(First), 2U);
}

// The same for the steps that depend on the adopted run.
TEST_F(AdoptedRun, opensNoStepThatAnEarlierOwnerMayHaveOpened)
{
    takeOver({stepAfter({}), stepAfter({0})}, {RunDuration, 0, false});
    advance(Second * 2);
    const TaskName next {"job", 0, 1, 0};
    EXPECT_EQ(m_workers.startCount(next), 0U);
    m_gateway.cutWorkers.clear();
    advance(Second);
    EXPECT_EQ(m_workers.startCount(next), 1U);
}

// A worker that drains must be emptied in time, also while another worker can't be heard.
TEST_F(AdoptedRun, isFollowedByAnotherOneIfItRanLongerThanEarlierOwnersStartTasks)
{
    takeOver({stepAfter({})}, {Second * 6, 1, false});
    advance(Second * 8);
    EXPECT_EQ(m_workers.startCount(First), 2U);
}

// A new owner that hears of a later run before it reads the end of the one that it has adopted stops the later one, and
// must not start the task again until that one is over.
TEST_F(AdoptedRun, isNotFollowedByAnotherOneWhileALaterOneIsStopped)
{
    m_workers.add({"other", "other:1", "pool", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false});
    FakeWorkers::Behaviour behaviour {Second * 2, 1, false};
    behaviour.stopDuration = Milliseconds(1'500);
    takeOver({stepAfter({})}, behaviour);
    advance(Second);
    m_gateway.cutWorkers.insert("heard");
    advance(Milliseconds(1'200));
    ASSERT_EQ(m_workers.start("unheard", EarlierToken, {{First, 2}, {}, {}, {}, Second.count() * 5}).outcome,
        OrderOutcome::Accepted);
    m_gateway.cutWorkers.erase("unheard");
    advance(Milliseconds(700));
    m_gateway.cutWorkers.clear();
    advance(Second);
    EXPECT_THAT(m_workers.violations(), testing::IsEmpty());
}

// The next incarnation of a worker that has been heard takes orders of an earlier owner until it is heard as well.
TEST_F(AdoptedRun, isNotFollowedByAnotherOneWhileAnEarlierOwnerMayReachARestartedWorker)
{
    m_workers.add({"other", "other:1", "pool", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false});
    m_gateway.cutWorkers.clear();
    takeOver({stepAfter({})}, {Second, 1, false});
    advance(Milliseconds(600));
    m_gateway.cutWorkers = {"heard", "unheard"};
    // A request that is on its way still reaches the former incarnation.
    advance(Milliseconds(200));
    m_workers.restart("unheard");
    advance(Milliseconds(400));
    ASSERT_EQ(m_workers.start("unheard", EarlierToken, {{First, 2}, {}, {}, {}, Second.count() * 5}).outcome,
        OrderOutcome::Accepted);
    m_gateway.cutWorkers = {"unheard"};
    advance(Milliseconds(800));
    EXPECT_THAT(m_workers.violations(), testing::IsEmpty());
}

// The platform lists the restart of a worker while the owner still waits for the answer of the former incarnation.
TEST_F(AdoptedRun, isNotFollowedByAnotherOneWhileAnEarlierOwnerMayReachAWorkerThatIsListedAnew)
{
    m_workers.add({"other", "other:1", "pool", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false});
    m_gateway.cutWorkers.clear();
    takeOver({stepAfter({})}, {Second, 1, false});
    advance(Milliseconds(300));
    m_gateway.reportDelays["unheard"] = Milliseconds(1'000);
    advance(Milliseconds(300));
    m_gateway.cutWorkers = {"unheard"};
    m_workers.restart("unheard");
    m_jobs->updateWorker(m_workers.listings().at("unheard"));
    advance(Milliseconds(600));
    EXPECT_EQ(m_workers.startCount(First), 1U);
    ASSERT_EQ(m_workers.start("unheard", EarlierToken, {{First, 2}, {}, {}, {}, Second.count() * 5}).outcome,
        OrderOutcome::Accepted);
    advance(Milliseconds(800));
    EXPECT_THAT(m_workers.violations(), testing::IsEmpty());
}

TEST_F(AdoptedRun, isFollowedByAnotherOneAtOnceIfAllWorkersAnswer)
{
    m_gateway.cutWorkers.clear();
    takeOver({stepAfter({})}, {RunDuration, 1, false});
    advance(RunDuration + Milliseconds(200));
    EXPECT_EQ(m_workers.startCount(First), 2U);
}

// A worker that left after the take-over held back all inherited tasks until the leases of earlier owners had expired.
TEST_F(AdoptedRun, isFollowedByAnotherOneAtOnceIfAHeardWorkerHasDrainedAndLeft)
{
    m_gateway.cutWorkers.clear();
    takeOver({stepAfter({})}, {RunDuration, 1, false});
    advance(Milliseconds(200));
    WorkerListing draining = m_workers.listings().at("unheard");
    draining.draining = true;
    m_jobs->updateWorker(draining);
    m_gateway.cutWorkers = {"unheard"};
    advance(RunDuration + Second);
    EXPECT_EQ(m_workers.startCount(First), 2U);
}

// An entry that states a later start than the worker does held back all inherited tasks for ever.
TEST_F(AdoptedRun, isFollowedByAnotherOneAlthoughAListingStatesARestartThatNeverCame)
{
    m_gateway.cutWorkers.clear();
    takeOver({stepAfter({})}, {RunDuration, 1, false});
    advance(Milliseconds(200));
    WorkerListing listing = m_workers.listings().at("unheard");
    ++listing.incarnation;
    m_jobs->updateWorker(listing);
    advance(Second * 12);
    EXPECT_EQ(m_workers.startCount(First), 2U);
}

}
