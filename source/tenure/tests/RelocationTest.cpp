#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Four data centres. Each of the first two has two workers and is a partition of its own.
const std::map<std::string, std::string> Regions {
    {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}};

// Long-running tasks whose partition has no room for them. Workers 0 and 2 are in the first partition, 1 and 3 in the
// second one, 4 is in the third one.
class Relocation : public testing::Test
{
protected:
    Relocation() : m_cluster(Regions)
    {
        m_cluster.advance(Second * 3);
    }

    // Submits a job with so many long-running tasks of so many thousandths of a core each to a partition.
    void submit(const std::string &partition, const std::string &id, int tasks, std::int64_t milliCores)
    {
        FakeWorkers::Behaviour behaviour {Milliseconds(100), 0, true};
        behaviour.demand = {milliCores, 500, 0};
        m_cluster.workers.setBehaviour(id, behaviour);
        JobRecord record = TestCluster::job(id, 1, tasks);
        record.specification.steps[0].longRunning = true;
        record.specification.steps[0].demand = behaviour.demand;
        m_cluster.ownerOf(partition)->ownership.leader(partition)->submit(
            record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
        m_cluster.advance(Second * 2);
    }

    void addWorker(const std::string &name, const std::string &dataCentre, std::int64_t milliCores)
    {
        m_cluster.workers.add({name, name + ":1", "pool", dataCentre, "rack", {}, {milliCores, 8'000, 0}, 1, false});
        m_cluster.advance(Second * 2);
    }

    // Lists workers as draining. They stay for the time of the test.
    void drain(const std::set<std::string> &names)
    {
        WorkerListings listings = m_cluster.workers.listings();
        for (const std::string &name : names) {
            listings.at(name).draining = true;
        }
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->ownership.updateWorkers(listings);
        }
    }

    [[nodiscard]] std::size_t runsIn(const std::string &partition)
    {
        std::size_t count = 0;
        const JobScheduler &jobs = m_cluster.ownerOf(partition)->ownership.leader(partition)->jobScheduler();
        for (const auto &[name, worker] : jobs.workers()) {
            count += worker.tasks.size();
        }
        return count;
    }

    TestCluster m_cluster;
};

}

// Tasks on a draining worker found no place in their partition. They ended with the worker and waited for its leases to
// expire, although another partition had room all the time.
TEST_F(Relocation, movesTasksOffADrainingWorkerToAnotherPartition)
{
    submit("a", "job", 2, 3'000);
    ASSERT_EQ(runsIn("a"), 2U);
    drain({"worker-0"});
    m_cluster.advance(Milliseconds(1'500));
    EXPECT_EQ(runsIn("a"), 1U);
    EXPECT_EQ(runsIn("b"), 1U);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A delegated task on a draining worker stayed there until the worker left, although its home partition had room again.
TEST_F(Relocation, bringsADelegatedTaskOnADrainingWorkerHome)
{
    submit("a", "job", 2, 3'000);
    drain({"worker-0"});
    m_cluster.advance(Milliseconds(1'500));
    ASSERT_EQ(runsIn("b"), 1U);
    drain({"worker-1", "worker-3"});
    m_cluster.advance(Milliseconds(1'500));
    EXPECT_EQ(runsIn("a"), 2U);
    EXPECT_EQ(runsIn("b"), 0U);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A task keeps running on its draining worker as long as no partition has room for it.
TEST_F(Relocation, leavesTasksOnADrainingWorkerWhileNoPartitionHasRoom)
{
    submit("a", "job", 2, 3'000);
    submit("b", "other", 2, 3'000);
    drain({"worker-0"});
    m_cluster.advance(Second * 3);
    EXPECT_EQ(m_cluster.workers.runningCount(), 4U);
    EXPECT_EQ(m_cluster.workers.startCount({"job", 0, 0, 0}) + m_cluster.workers.startCount({"job", 0, 0, 1}), 2U);
}

// Two partitions passed three tasks on to the only place that was free, which two of them had to leave again.
TEST_F(Relocation, sendsOnlyOneTaskToOnePlace)
{
    submit("a", "first", 2, 3'000);
    submit("b", "second", 2, 3'000);
    addWorker("worker-4", "c", 3'000);
    drain({"worker-0", "worker-1", "worker-2"});
    m_cluster.advance(Second * 3);
    EXPECT_EQ(runsIn("c"), 1U);
    EXPECT_EQ(m_cluster.workers.runningCount(), 4U);
    const std::size_t sent = m_cluster.state.list(JobKeys::jobs("c")).entries.size();
    EXPECT_EQ(sent, 1U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A partition with gaps reported none, because the tasks on its draining worker, which are too large for the gaps, were
// subtracted.
TEST_F(Relocation, usesGapsBesideTasksThatAreTooLargeForThem)
{
    submit("b", "large", 2, 3'000);
    submit("a", "small", 4, 1'000);
    drain({"worker-0", "worker-1", "worker-2"});
    m_cluster.advance(Second * 3);
    // The draining worker of the second partition goes on, and the other one has room for one small task.
    EXPECT_EQ(runsIn("b"), 3U);
    EXPECT_EQ(m_cluster.workers.runningCount(), 6U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The place that was held for a task is free for others again if the task does not arrive.
TEST_F(Relocation, releasesAPlaceWhoseTaskDoesNotArrive)
{
    PartitionLeader &leader = *m_cluster.ownerOf("b")->ownership.leader("b");
    JobRecord record = TestCluster::job("absent", 1, 8);
    record.specification.steps[0].longRunning = true;
    for (int i = 0; i < 8; ++i) {
        record.delegated.push_back({{"absent", 0, 0, i}, 1});
    }
    EXPECT_EQ(leader.holdPlaces({{record}}).held.size(), 8U);
    JobRecord other = record;
    other.specification.id = "other";
    for (DelegatedTask &task : other.delegated) {
        task.task.job = "other";
    }
    EXPECT_TRUE(leader.holdPlaces({{other}}).held.empty());
    m_cluster.advance(Second * 4);
    EXPECT_EQ(leader.holdPlaces({{other}}).held.size(), 8U);
}

TEST_F(Relocation, releasesAPlaceThatIsNotNeededAnyMore)
{
    PartitionLeader &leader = *m_cluster.ownerOf("b")->ownership.leader("b");
    JobRecord record = TestCluster::job("absent", 1, 1);
    record.specification.steps[0].longRunning = true;
    record.delegated.push_back({{"absent", 0, 0, 0}, 1});
    const PoolHeadrooms before = leader.holdPlaces({}).headrooms;
    EXPECT_NE(leader.holdPlaces({{record}}).headrooms, before);
    EXPECT_EQ(leader.holdPlaces({{}, {{"absent", 0, 0, 0}}}).headrooms, before);
}

// A repeated request, whose first answer was lost, holds no second place.
TEST_F(Relocation, holdsOnePlaceForATaskThatIsRequestedTwice)
{
    PartitionLeader &leader = *m_cluster.ownerOf("b")->ownership.leader("b");
    JobRecord record = TestCluster::job("absent", 1, 1);
    record.specification.steps[0].longRunning = true;
    record.delegated.push_back({{"absent", 0, 0, 0}, 1});
    const PlaceAnswer first = leader.holdPlaces({{record}});
    EXPECT_EQ(first.held.size(), 1U);
    EXPECT_EQ(leader.holdPlaces({{record}}), first);
}

}
