#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Leaves the owner only the way to one worker, which no other instance reaches.
void cutOff(TestCluster &cluster, TestInstance &owner, const std::string &worker)
{
    owner.store.down = true;
    // Any other worker would reject its calls because of the successor's higher fencing token.
    for (const auto &[name, listing] : cluster.workers.listings()) {
        if (name != worker) {
            owner.gateway.cutWorkers.insert(name);
        }
    }
    for (const auto &[number, instance] : cluster.instances) {
        if (instance.get() != &owner) {
            instance->gateway.cutWorkers.insert(worker);
        }
    }
}

}

// An owner that lists its inbox applies a job's submission before its cancellation.
TEST(JobKeys, sortSubmissionsBeforeCancellations)
{
    EXPECT_LT(JobKeys::inboxSubmission("fleet", "zz"), JobKeys::inboxCancellation("wheatbelt", "aa"));
}

TEST(PartitionLeader, appliesInboxEntriesWrittenWhileThereWasNoOwner)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    const JobRecord record = TestCluster::job("job", 1, 1);
    cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    const InboxEntry submission {InboxRequest::Submit, "job", record};
    const InboxEntry cancellation {InboxRequest::Cancel, "job", std::nullopt};
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::inboxCancellation("fleet", "job"), serialize(cancellation), {}, 0},
        {JobKeys::inboxSubmission("fleet", "job"), serialize(submission), {}, 0},
        {JobKeys::jobs("fleet") + "job", serialize(record), {}, 0}, {JobKeys::home("job"), "wheatbelt", {}, 0}};
    for (int i = 0; i < TestCluster::InstanceCount; ++i) {
        cluster.kill(i);
    }
    ASSERT_EQ(errorOf(cluster.state.commit(transaction)), nullptr);
    cluster.start(0);
    cluster.advance(Second * 12);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Cancelled);
    EXPECT_EQ(cluster.workers.runningCount(), 0U);
    EXPECT_TRUE(cluster.state.list(JobKeys::inbox("fleet")).entries.empty());
}

// After a take-over several workers report the failures of one task, in any order.
TEST(JobScheduler, countsFailuresReportedInAnyOrder)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    cluster.workers.setBehaviour("job", {Milliseconds(100), 1'000, false});
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    owner->router.submit(TestCluster::job("job", 1, 1), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Milliseconds(60));
    // The ends can't be recorded, so the workers report all failures again to the next owner.
    owner->store.down = true;
    cluster.advance(Second * 20);
    owner->store.down = false;
    cluster.advance(Second * 10);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Failed);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
}

TEST(JobScheduler, movesTasksOffDrainingWorkers)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    cluster.workers.setBehaviour("job", {Milliseconds(100), 0, true});
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    JobRecord record = TestCluster::job("job", 1, 1);
    record.specification.steps[0].longRunning = true;
    owner->router.submit(record, cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second * 2);
    ASSERT_EQ(cluster.workers.runningCount(), 1U);
    std::map<std::string, WorkerListing> listings = cluster.workers.listings();
    const TaskName task {"job", 0, 0, 0};
    const JobScheduler &jobs = owner->ownership.leader("fleet")->jobScheduler();
    const std::string before = jobs.find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    listings.at(before).draining = true;
    owner->ownership.updateWorkers(listings);
    cluster.advance(Second * 2);
    const TaskState &state = jobs.find("job")->occurrences.at(0).steps[0].tasks[0];
    EXPECT_NE(state.worker, before);
    EXPECT_EQ(state.phase, RunPhase::Running);
    EXPECT_EQ(cluster.workers.startCount(task), 2U);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
}

// An owner that reaches neither the store nor other instances must let its leases expire, because its successor starts
// the tasks of unreachable workers on other workers.
TEST(JobScheduler, runsATaskOnceWhenOnlyTheCutOffOwnerReachesItsWorker)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    const std::string worker = cluster.startLongRunning("job");
    cutOff(cluster, *owner, worker);
    cluster.advance(Second * 20);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(cluster.workers.startCount({"job", 0, 0, 0}), 2U);
}

// The same if the owner is held up and handles the worker's reports before it notices that its lease has run out.
TEST(JobScheduler, runsATaskOnceWhenTheCutOffOwnerIsHeldUp)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    const std::string worker = cluster.startLongRunning("job");
    cutOff(cluster, *owner, worker);
    cluster.heldUp.insert(owner->self.name.back() - '0');
    cluster.advance(Second * 20);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(cluster.workers.startCount({"job", 0, 0, 0}), 2U);
}

// A successor that is short of processor time reads the workers' reports long after its predecessor's leases expired.
TEST(JobScheduler, restartsNoTaskBeforeReachableWorkersHaveReported)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    cluster.workers.setBehaviour("job", {Milliseconds(600), 0, false});
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    owner->router.submit(TestCluster::job("job", 1, 1), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Milliseconds(300));
    ASSERT_EQ(cluster.workers.runningCount(), 1U);
    const JobScheduler &jobs = owner->ownership.leader("fleet")->jobScheduler();
    const std::string worker = jobs.find("job")->occurrences.at(0).steps[0].tasks[0].worker;
    cluster.kill(owner->self.name.back() - '0');
    for (const auto &[id, instance] : cluster.instances) {
        if (instance) {
            instance->gateway.reportDelays[worker] = Second * 7;
        }
    }
    cluster.advance(Second * 16);
    EXPECT_EQ(cluster.workers.startCount({"job", 0, 0, 0}), 1U);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Done);
}

// A worker that left long ago must not delay the tasks that a later owner takes over.
TEST(JobScheduler, doesNotWaitForWorkersThatLeftBeforeATakeOver)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    // One task on each worker, so that each has held a lease.
    JobRecord first = TestCluster::job("first", 1, TestCluster::WorkerCount);
    first.specification.steps[0].perWorkerLimit = 1;
    owner->router.submit(first, cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second * 2);
    ASSERT_EQ(owner->ownership.leader("fleet")->jobScheduler().leaseHolders().size(), 4U);
    std::map<std::string, WorkerListing> listings = cluster.workers.listings();
    listings.erase("worker-3");
    owner->gateway.cutWorkers.insert("worker-3");
    owner->ownership.updateWorkers(listings);
    cluster.advance(Second * 10);
    EXPECT_EQ(owner->ownership.leader("fleet")->jobScheduler().leaseHolders().size(), 3U);
    // This task only starts after the take-over.
    JobRecord second = TestCluster::job("second", 1, 1);
    second.specification.repeatCount = 1;
    second.specification.firstRun = cluster.clock.wallMilliseconds() + 5'000;
    owner->router.submit(second, cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second);
    const int number = owner->self.name.back() - '0';
    cluster.kill(number);
    cluster.start(number);
    cluster.instances[number]->gateway.cutWorkers.insert("worker-3");
    cluster.instances[number]->ownership.updateWorkers(listings);
    cluster.advance(Milliseconds(5'500));
    EXPECT_EQ(cluster.workers.startCount({"second", 0, 0, 0}), 1U);
}

// A successor adopts a run on a worker that also lists an end. It renews the worker's leases only once the end is
// recorded. If the successor is lost before then, the next one must know that the worker still runs the task.
TEST(JobScheduler, recordsWorkersWithAdoptedRunsAsLeaseHolders)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    const std::string worker = cluster.startLongRunning("job");
    for (int i = 0; i < TestCluster::WorkerCount; ++i) {
        const std::string id = "short-" + std::to_string(i);
        cluster.workers.setBehaviour(id, {Milliseconds(600), 0, false});
        owner->router.submit(TestCluster::job(id, 1, 2), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }
    cluster.advance(Milliseconds(500));
    // An instance takes over from its former process at once, so that the worker's leases have not expired.
    const int number = owner->self.name.back() - '0';
    cluster.kill(number);
    cluster.start(number);
    bool adopted = false;
    for (int i = 0; i < 300; ++i) {
        cluster.advance(Milliseconds(20));
        TestInstance *successor = cluster.owner();
        if (successor == nullptr) {
            continue;
        }
        const JobScheduler &jobs = successor->ownership.leader("fleet")->jobScheduler();
        std::set<std::string> holders;
        for (const WorkerListing &holder : jobs.leaseHolders()) {
            holders.insert(holder.name);
        }
        for (const auto &[name, state] : jobs.workers()) {
            adopted = adopted || (name == worker && state.leaseGrantedUntil == 0 && !state.tasks.empty());
            EXPECT_TRUE(state.tasks.empty() || holders.contains(name)) << name;
        }
    }
    EXPECT_TRUE(adopted);
}

// If a worker refuses to start a task, the job still counts as waiting.
TEST(JobScheduler, countsAJobAsWaitingUntilATaskHasStarted)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    cluster.workers.requireTickets("job");
    owner->router.submit(TestCluster::job("job", 1, 2), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second * 2);
    EXPECT_EQ(owner->ownership.leader("fleet")->waitingCount("queue"), 1);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Pending);
    owner->router.submit(TestCluster::job("other", 1, 2), cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Milliseconds(200));
    EXPECT_EQ(owner->ownership.leader("fleet")->waitingCount("queue"), 1);
}

TEST(JobScheduler, startsAdvisedStepsOnlyWhereTheAdvisorAllowsIt)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    cluster.advisor.suitable = {"worker-2"};
    cluster.advisor.away = true;
    cluster.workers.requireTickets("job");
    JobRecord record = TestCluster::job("job", 1, 6);
    record.policy.advised = true;
    owner->router.submit(record, cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    cluster.advance(Second * 2);
    EXPECT_EQ(cluster.workers.runningCount(), 0U);
    cluster.advisor.away = false;
    // Four tasks fit at once, and the ticket expires before the others can start.
    cluster.workers.setBehaviour("job", {Milliseconds(1'500), 0, false});
    cluster.advance(Second);
    EXPECT_EQ(cluster.workers.runningCount(), 4U);
    cluster.advance(Second * 5);
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Done);
    EXPECT_EQ(cluster.advisor.mostOpenCalls, 1);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
}

// Small tasks fill every gap as soon as it appears, while a long-running task needs a whole worker.
TEST(JobScheduler, reservesAWorkerForALongRunningTaskAmongSmallOnes)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    const auto submit = [&](const JobRecord &record) {
        owner->router.submit(record, cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    };
    int next = 0;
    const auto submitSmall = [&] {
        const std::string id = "small-" + std::to_string(next);
        // The tasks end at different times, so that no worker becomes empty by chance.
        cluster.workers.setBehaviour(id, {Milliseconds(2'000 + 370 * (next % 11)), 0, false});
        ++next;
        submit(TestCluster::job(id, 1, 1));
    };
    constexpr int SmallTasks = 60;
    for (int i = 0; i < SmallTasks; ++i) {
        submitSmall();
    }
    cluster.advance(Second * 3);
    ASSERT_GT(cluster.workers.runningCount(), 10U);
    JobRecord record = TestCluster::job("lasting", 1, 1);
    record.specification.steps[0].demand = {4'000, 500, 0};
    record.specification.steps[0].longRunning = true;
    cluster.workers.setBehaviour("lasting", {Milliseconds(100), 0, true});
    submit(record);
    cluster.advance(Second * 6);
    EXPECT_EQ(cluster.workers.startCount({"lasting", 0, 0, 0}), 1U);
}

// The store does not answer while callers wait. The outcome of a submission in flight is unknown, and the caller must
// learn this while there is time to try another instance.
TEST(JobRouter, answersBeforeTheCallersDeadline)
{
    TestCluster cluster;
    cluster.advance(Second * 3);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    for (const auto &[number, instance] : cluster.instances) {
        instance->store.delay = Second * 10;
    }
    std::optional<RouteOutcome> submitted;
    std::optional<RouteOutcome> cancelled;
    owner->router.submit(TestCluster::job("job", 1, 1), cluster.clock.now() + Second * 3,
        [&submitted](RouteOutcome outcome) { submitted = outcome; });
    owner->router.cancel(
        "other", cluster.clock.now() + Second * 3, [&cancelled](RouteOutcome outcome) { cancelled = outcome; });
    cluster.advance(Milliseconds(1'600));
    EXPECT_EQ(submitted, RouteOutcome::Unknown);
    cluster.advance(Milliseconds(1'380));
    EXPECT_EQ(cancelled, RouteOutcome::Unknown);
}

// A late copy of a submission must not be refused when another partition has accepted the job.
TEST(PartitionLeader, doesNotRefuseAJobThatAnotherPartitionAccepted)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    JobRecord job = TestCluster::job("job", 1, 1);
    job.specification.steps[0].requiredLabel = "nowhere";
    std::optional<RouteOutcome> outcome;
    const auto submit = [&] {
        outcome.reset();
        owner->router.submit(
            job, cluster.clock.now() + Second * 3, [&outcome](RouteOutcome result) { outcome = result; });
        cluster.advance(Milliseconds(200));
    };
    submit();
    EXPECT_EQ(outcome, RouteOutcome::Refused);
    StoreTransaction transaction;
    transaction.writes = {{JobKeys::home("job"), "other", {}, 0}};
    ASSERT_EQ(errorOf(cluster.state.commit(transaction)), nullptr);
    submit();
    EXPECT_EQ(outcome, RouteOutcome::Done);
}

}
