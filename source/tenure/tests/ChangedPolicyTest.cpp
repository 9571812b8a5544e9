#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
const TaskName Task {"job", 0, 0, 0};

QueuePolicy policyOf(const std::string &pool, std::int64_t version)
{
    QueuePolicy policy = TestCluster::job("job", 1, 1).policy;
    policy.pool = pool;
    policy.version = version;
    return policy;
}

// A job whose queue the operator sends to another pool. The workers of the cluster are those of the old pool.
class ChangedPolicy : public testing::Test
{
protected:
    ChangedPolicy()
    {
        m_cluster.workers.add({"new", "new:1", "new", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false});
        configure({{"queue", policyOf("pool", 1)}});
        m_cluster.advance(Second * 3);
    }

    void configure(const std::map<std::string, QueuePolicy> &policies)
    {
        m_policies = policies;
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->ownership.updatePolicies(policies);
            }
        }
    }

    // Submits a job with one task that the store records with the policy of the first configuration.
    void submit(bool longRunning)
    {
        m_cluster.workers.setBehaviour("job", {Second * 2, 0, longRunning});
        JobRecord record = TestCluster::job("job", 1, 1);
        record.specification.steps[0].longRunning = longRunning;
        record.policy = policyOf("pool", 1);
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Second);
    }

    // Ends the owner as planned, so that an instance that has the configuration takes over.
    void stopOwner()
    {
        TestInstance *owner = m_cluster.owner();
        const int number = owner->self.name.back() - '0';
        owner->ownership.release([] {});
        m_cluster.advance(Milliseconds(400));
        m_cluster.kill(number);
        m_cluster.advance(Second * 12);
    }

    // Kills all instances and starts one that has the configuration before it becomes an owner.
    void restartAll()
    {
        for (int i = 0; i < TestCluster::InstanceCount; ++i) {
            m_cluster.kill(i);
        }
        m_cluster.start(0);
        configure(m_policies);
        m_cluster.advance(Second * 15);
    }

    void removeOldWorkers()
    {
        for (const auto &[name, listing] : m_cluster.workers.listings()) {
            if (listing.pool == "pool") {
                m_cluster.workers.crash(name);
            }
        }
        m_cluster.listAllWorkersExcept({"worker-0", "worker-1", "worker-2", "worker-3"});
        m_cluster.advance(Second * 12);
    }

    [[nodiscard]] std::string workerOfTask()
    {
        const JobState *job = m_cluster.owner()->ownership.leader("fleet")->jobScheduler().find("job");
        return job->occurrences.at(0).steps[0].tasks[0].worker;
    }

    TestCluster m_cluster;
    std::map<std::string, QueuePolicy> m_policies;
};

}

// A restored job kept the policy of its acceptance, so its long-running task never ran again once the workers of the
// former pool had left (review/6).
TEST_F(ChangedPolicy, holdsForJobsThatANewOwnerRestores)
{
    submit(true);
    configure({{"queue", policyOf("new", 2)}});
    stopOwner();
    removeOldWorkers();
    EXPECT_EQ(workerOfTask(), "new");
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The same for a job that an instance with an older configuration passes on.
TEST_F(ChangedPolicy, holdsForJobsThatAnInstanceWithAnOlderConfigurationPassesOn)
{
    configure({{"queue", policyOf("new", 2)}});
    submit(true);
    EXPECT_EQ(workerOfTask(), "new");
}

// An instance that accepts a job may know a newer configuration than the owner.
TEST_F(ChangedPolicy, holdsForJobsOfANewerConfiguration)
{
    configure({{"queue", policyOf("other", 0)}});
    submit(true);
    EXPECT_NE(workerOfTask(), "");
}

// A later configuration does not name the queue any more, so only the store tells a new owner where its jobs run.
TEST_F(ChangedPolicy, outlivesTheQueue)
{
    submit(true);
    configure({{"queue", policyOf("new", 2)}});
    m_cluster.advance(Second * 2);
    configure({});
    restartAll();
    removeOldWorkers();
    EXPECT_EQ(workerOfTask(), "new");
}

// A job is accepted while the store has no owner of the partition, and read from the inbox.
TEST_F(ChangedPolicy, holdsForJobsFromTheInbox)
{
    configure({{"queue", policyOf("new", 2)}});
    JobRecord record = TestCluster::job("job", 1, 1);
    record.policy = policyOf("pool", 1);
    m_cluster.workers.setBehaviour("job", {Second, 0, true});
    record.specification.steps[0].longRunning = true;
    StoreTransaction transaction;
    transaction.writes = {
        {JobKeys::inboxSubmission("fleet", "job"), serialize(InboxEntry {InboxRequest::Submit, "job", record}), {}, 0},
        {JobKeys::jobs("fleet") + "job", serialize(record), {}, 0}, {JobKeys::home("job"), "fleet", {}, 0}};
    ASSERT_EQ(errorOf(m_cluster.state.commit(transaction)), nullptr);
    m_cluster.advance(Second * 2);
    EXPECT_EQ(workerOfTask(), "new");
}

}
