#include "TenureWorld.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

}

// A listing of the inbox shows a job before its cancellation.
TEST(JobKeys, sortSubmissionsBeforeCancellations)
{
    EXPECT_LT(JobKeys::inboxSubmission("fleet", "zz"), JobKeys::inboxCancellation("wheatbelt", "aa"));
}

TEST(JobKeeper, takesWhatWasLeftInItsInbox)
{
    TenureWorld world;
    world.advance(Second * 2);
    const JobRecord record = TenureWorld::job("job", 1, 1);
    world.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    const InboxEntry submission {InboxRequest::Submit, "job", record};
    const InboxEntry cancellation {InboxRequest::Cancel, "job", std::nullopt};
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::inboxCancellation("fleet", "job"), serialize(cancellation), {}, 0},
        {JobKeys::inboxSubmission("fleet", "job"), serialize(submission), {}, 0},
        {JobKeys::jobs("fleet") + "job", serialize(record), {}, 0}, {JobKeys::home("job"), "wheatbelt", {}, 0}};
    for (int i = 0; i < TenureWorld::InstanceCount; ++i) {
        world.kill(i);
    }
    ASSERT_EQ(errorOf(world.state.commit(transaction)), nullptr);
    world.start(0);
    world.advance(Second * 12);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(world.workers.runningCount(), 0U);
    EXPECT_TRUE(world.state.list(JobKeys::inbox("fleet")).entries.empty());
}

// After a take-over the failures of one task are listed by several workers in any order.
TEST(JobScheduler, countsFailuresInAnyOrder)
{
    TenureWorld world;
    world.advance(Second * 2);
    world.workers.setBehaviour("job", {Milliseconds(100), 1'000, false});
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    owner->router.submit(TenureWorld::job("job", 1, 1), world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Milliseconds(60));
    // The ends can't be recorded, so that all failures are listed again to the next owner.
    owner->store.down = true;
    world.advance(Second * 20);
    owner->store.down = false;
    world.advance(Second * 10);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Failed);
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
}

TEST(JobScheduler, emptiesDrainingWorkers)
{
    TenureWorld world;
    world.advance(Second * 2);
    world.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    JobRecord record = TenureWorld::job("job", 1, 1);
    record.specification.steps[0].longRunning = true;
    owner->router.submit(record, world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second * 2);
    ASSERT_EQ(world.workers.runningCount(), 1U);
    std::map<std::string, WorkerListing> listings = world.workers.listings();
    const TaskName task {"job", 0, 0, 0};
    const JobScheduler &jobs = owner->seats.keeper("fleet")->jobs();
    const std::string before = jobs.find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    listings.at(before).draining = true;
    owner->seats.updateWorkers(listings);
    world.advance(Second * 2);
    const TaskState &state = jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    EXPECT_NE(state.worker, before);
    EXPECT_EQ(state.phase, RunPhase::Running);
    EXPECT_EQ(world.workers.startCount(task), 2U);
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
}

// An owner that reaches neither store nor neighbours must let its leases run out, because its successor starts the
// tasks of workers that it can't reach elsewhere.
TEST(JobScheduler, runsATaskOnceWhenOnlyTheCutOffOwnerReachesItsWorker)
{
    TenureWorld world;
    world.advance(Second * 2);
    world.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    JobRecord record = TenureWorld::job("job", 1, 1);
    record.specification.steps[0].longRunning = true;
    owner->router.submit(record, world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second * 2);
    const JobScheduler &jobs = owner->seats.keeper("fleet")->jobs();
    const std::string worker = jobs.find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    owner->store.down = true;
    // Any other worker would tell it of the successor's higher token.
    for (const auto &[name, listing] : world.workers.listings()) {
        if (name != worker) {
            owner->gateway.cutWorkers.insert(name);
        }
    }
    for (const auto &[number, instance] : world.instances) {
        if (instance.get() != owner) {
            instance->gateway.cutWorkers.insert(worker);
        }
    }
    world.advance(Second * 20);
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(world.workers.startCount({"job", 0, 0, 0}), 2U);
}

// Load: a successor that is short of processor time reads the workers' lists long after the leases of its predecessor.
TEST(JobScheduler, startsNothingAgainBeforeItHasHeardLiveWorkers)
{
    TenureWorld world;
    world.advance(Second * 2);
    world.workers.setBehaviour("job", {Milliseconds(600), 0, false});
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    owner->router.submit(TenureWorld::job("job", 1, 1), world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Milliseconds(300));
    ASSERT_EQ(world.workers.runningCount(), 1U);
    const JobScheduler &jobs = owner->seats.keeper("fleet")->jobs();
    const std::string worker = jobs.find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    world.kill(owner->card.name.back() - '0');
    for (const auto &[id, instance] : world.instances) {
        if (instance) {
            instance->gateway.reportDelays[worker] = Second * 7;
        }
    }
    world.advance(Second * 16);
    EXPECT_EQ(world.workers.startCount({"job", 0, 0, 0}), 1U);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Done);
}

// A worker that left long ago must not hold up the tasks that a later owner inherits.
TEST(JobScheduler, doesNotWaitForWorkersThatLeftBeforeATakeOver)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    // One task on each worker, so that each has held a lease.
    JobRecord first = TenureWorld::job("first", 1, TenureWorld::WorkerCount);
    first.specification.steps[0].perWorkerLimit = 1;
    owner->router.submit(first, world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second * 2);
    ASSERT_EQ(owner->seats.keeper("fleet")->jobs().leaseHolders().size(), 4U);
    std::map<std::string, WorkerListing> listings = world.workers.listings();
    listings.erase("worker-3");
    owner->gateway.cutWorkers.insert("worker-3");
    owner->seats.updateWorkers(listings);
    world.advance(Second * 10);
    EXPECT_EQ(owner->seats.keeper("fleet")->jobs().leaseHolders().size(), 3U);
    // A task that starts after the take-over only.
    JobRecord second = TenureWorld::job("second", 1, 1);
    second.specification.repeatCount = 1;
    second.specification.firstRun = world.clock.wallMilliseconds() + 5'000;
    owner->router.submit(second, world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second);
    const int number = owner->card.name.back() - '0';
    world.kill(number);
    world.start(number);
    world.instances[number]->gateway.cutWorkers.insert("worker-3");
    world.instances[number]->seats.updateWorkers(listings);
    world.advance(Milliseconds(5'500));
    EXPECT_EQ(world.workers.startCount({"second", 0, 0, 0}), 1U);
}

// A start that a worker refuses begins nothing, so its job still counts among those that wait.
TEST(JobScheduler, countsAJobAsWaitingUntilATaskHasReallyStarted)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    world.workers.requireTickets("job");
    owner->router.submit(TenureWorld::job("job", 1, 2), world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second * 2);
    EXPECT_EQ(owner->seats.keeper("fleet")->waitingCount("queue"), 1);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Pending);
    owner->router.submit(TenureWorld::job("other", 1, 2), world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Milliseconds(200));
    EXPECT_EQ(owner->seats.keeper("fleet")->waitingCount("queue"), 1);
}

TEST(JobScheduler, startsAdvisedStepsOnlyWhereTheAdvisorAllowsIt)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    world.advisor.suitable = {"worker-2"};
    world.advisor.away = true;
    world.workers.requireTickets("job");
    JobRecord record = TenureWorld::job("job", 1, 6);
    record.policy.advised = true;
    owner->router.submit(record, world.clock.now() + Second * 3, [](RouteOutcome) {});
    world.advance(Second * 2);
    EXPECT_EQ(world.workers.runningCount(), 0U);
    world.advisor.away = false;
    // Four tasks fit at once, and the ticket runs out before the others can start.
    world.workers.setBehaviour("job", {Milliseconds(1'500), 0, false});
    world.advance(Second);
    EXPECT_EQ(world.workers.runningCount(), 4U);
    world.advance(Second * 5);
    EXPECT_EQ(world.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(world.advisor.mostOpenCalls, 1);
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
}

// Load: small tasks fill every gap as soon as it opens, while a lasting task needs a whole worker.
TEST(JobScheduler, makesRoomForALastingTaskAmongSmallOnes)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    const auto submit = [&](const JobRecord &record) {
        owner->router.submit(record, world.clock.now() + Second * 3, [](RouteOutcome) {});
    };
    int next = 0;
    const auto submitSmall = [&] {
        const std::string id = "small-" + std::to_string(next);
        // The ends fall apart, so that no worker becomes empty by chance.
        world.workers.setBehaviour(id, {Milliseconds(2'000 + 370 * (next % 11)), 0, false});
        ++next;
        submit(TenureWorld::job(id, 1, 1));
    };
    constexpr int SmallTasks = 60;
    for (int i = 0; i < SmallTasks; ++i) {
        submitSmall();
    }
    world.advance(Second * 3);
    ASSERT_GT(world.workers.runningCount(), 10U);
    JobRecord record = TenureWorld::job("lasting", 1, 1);
    record.specification.steps[0].demand = {4'000, 500, 0};
    record.specification.steps[0].longRunning = true;
    world.workers.setBehaviour("lasting", {Milliseconds(100), 0, true});
    submit(record);
    world.advance(Second * 6);
    EXPECT_EQ(world.workers.startCount({"lasting", 0, 0, 0}), 1U);
}

// Load: a store that keeps silent while callers wait. The outcome of an acceptance under way is not known, and the
// caller hears so while there is time to ask another instance.
TEST(JobRouter, answersBeforeTheCallersTimeIsOver)
{
    TenureWorld world;
    world.advance(Second * 3);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    for (const auto &[number, instance] : world.instances) {
        instance->store.delay = Second * 10;
    }
    std::optional<RouteOutcome> submitted;
    std::optional<RouteOutcome> cancelled;
    owner->router.submit(TenureWorld::job("job", 1, 1), world.clock.now() + Second * 3,
        [&submitted](RouteOutcome outcome) { submitted = outcome; });
    owner->router.cancel(
        "other", world.clock.now() + Second * 3, [&cancelled](RouteOutcome outcome) { cancelled = outcome; });
    world.advance(Milliseconds(1'600));
    EXPECT_EQ(submitted, RouteOutcome::Unknown);
    world.advance(Milliseconds(1'380));
    EXPECT_EQ(cancelled, RouteOutcome::Unknown);
}

// A late copy of a request whose job another partition has accepted is not told that the job never runs.
TEST(JobKeeper, doesNotRefuseAJobThatIsAcceptedElsewhere)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    JobRecord job = TenureWorld::job("job", 1, 1);
    job.specification.steps[0].requiredLabel = "nowhere";
    std::optional<RouteOutcome> outcome;
    const auto submit = [&] {
        outcome.reset();
        owner->router.submit(
            job, world.clock.now() + Second * 3, [&outcome](RouteOutcome result) { outcome = result; });
        world.advance(Milliseconds(200));
    };
    submit();
    EXPECT_EQ(outcome, RouteOutcome::Refused);
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::home("job"), "other", {}, 0}};
    ASSERT_EQ(errorOf(world.state.commit(transaction)), nullptr);
    submit();
    EXPECT_EQ(outcome, RouteOutcome::Done);
}

}
