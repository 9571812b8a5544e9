#include "scheduling/LeaseHolderRecord.h"

#include "TestCluster.h"
#include "scheduling/WorkerLeasePolicy.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

WorkerListing workerNamed(const std::string &name)
{
    WorkerListing worker;
    worker.name = name;
    worker.address = name + ":1";
    worker.pool = "pool";
    worker.incarnation = 7;
    return worker;
}

}

TEST(LeaseHolderRecord, isReadAsItWasWritten)
{
    const LeaseHolderRecord record {{workerNamed("a"), workerNamed("b")}, Milliseconds(6'000), 4,
        {{"b", Milliseconds(1'500)}}, true, true, true, {{"b", {{"job", 0, 1, 2}, {"job.with.dots", 3, 0, 0}}}}};
    EXPECT_EQ(parseLeaseHolderRecord(serialize(record)), record);
}

// Nothing runs on the first worker, and anything may on the second one.
TEST(LeaseHolderRecord, tellsAWorkerWithoutTasksFromOneWithUnknownTasks)
{
    const LeaseHolderRecord record {{workerNamed("a"), workerNamed("b")}, Milliseconds(6'000), 4,
        {{"a", Milliseconds(1'500)}, {"b", Milliseconds(1'500)}}, true, true, true, {{"a", {}}}};
    EXPECT_EQ(parseLeaseHolderRecord(serialize(record)), record);
}

// A successor would take a task whose name it can't read for one that runs nowhere.
TEST(LeaseHolderRecord, statesNoTasksIfANameIsMalformed)
{
    for (const std::string tasks : {R"(["job.0.0.0", "job"])", R"(["job.0.0.0", 7])", R"("job.0.0.0")", "{}", "null"}) {
        const std::string text = R"({"a": {"term": 4, "expires_ms": 1500, "tasks": )" + tasks + "}}";
        const LeaseHolderRecord record = parseLeaseHolderRecord(text);
        EXPECT_TRUE(record.finalExpiries.contains("a")) << tasks;
        EXPECT_FALSE(record.finalTasks.contains("a")) << tasks;
    }
}

// During an upgrade, the owner of the earlier term may be of a version that granted longer leases than this one.
TEST(LeaseHolderRecord, hasNoLeaseDurationIfAnyWorkerLacksIt)
{
    const std::string text = R"({"a": {"address": "a:1", "pool": "pool", "incarnation": 7, "lease_ms": 6000},
        "b": {"address": "b:1", "pool": "pool", "incarnation": 7}})";
    const LeaseHolderRecord record = parseLeaseHolderRecord(text);
    EXPECT_EQ(record.workers, (std::vector<WorkerListing> {workerNamed("a"), workerNamed("b")}));
    EXPECT_EQ(record.leaseDuration, std::nullopt);
}

TEST(LeaseHolderRecord, isEmptyIfMalformed)
{
    for (const std::string text : {"", "[]", "{", "7", R"({"a": 1})", R"({"a": {"lease_ms": "long"}})"}) {
        EXPECT_EQ(parseLeaseHolderRecord(text).leaseDuration, std::nullopt) << text;
    }
}

// A worker is lost, and its owner soon after. The successor restarts the worker's long-running task once the leases
// that were granted have expired, not once the longest leases that the platform allows would have.
TEST(PartitionLeader, restartsTasksOfALostWorkerOnceTheGrantedLeasesHaveExpired)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    const std::string worker = cluster.startLongRunning("job");
    for (const auto &[number, instance] : cluster.instances) {
        instance->gateway.cutWorkers.insert(worker);
    }
    cluster.listAllWorkersExcept({worker});
    cluster.advance(Milliseconds(500));
    cluster.kill(owner->self.name.back() - '0');
    // Three seconds until the owner's lease expires, three more in which it might have renewed leases, and two for the
    // leases of the workers.
    cluster.advance(Second * 9);
    EXPECT_EQ(cluster.workers.startCount({"job", 0, 0, 0}), 2U);
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
}

// Leases that outlast any take-over would only delay a successor.
TEST(WorkerLeasePolicy, grantsNoMoreThanATakeOverNeeds)
{
    EXPECT_EQ(workerLeaseDuration(Second * 10), Second * 6);
    EXPECT_EQ(workerLeaseDuration(Second * 4), Second * 4);
}

}
