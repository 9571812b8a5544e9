#include "HandOverFixture.h"

namespace Wagtail
{

namespace
{

// An owner loses its store lease at once and does not learn of it. Some workers are reached by it alone, and the others
// by its successor alone.
class ReplacedOwner : public HandOver
{
protected:
    // Lets the owner lose the given worker and then its store lease, while its successor reaches that worker only.
    // The old owner still relies on its lease when the leases that it granted on that worker run out.
    void replaceOwnerThatHasLost(const std::string &worker)
    {
        m_owner = m_cluster.owner();
        ASSERT_NE(m_owner, nullptr);
        m_owner->gateway.cutWorkers.insert(worker);
        m_cluster.advance(Milliseconds(700));
        m_owner->store.down = true;
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance.get() == m_owner) {
                continue;
            }
            for (const auto &[name, listing] : m_cluster.workers.listings()) {
                if (name != worker) {
                    instance->gateway.cutWorkers.insert(name);
                }
            }
        }
        m_cluster.state.revokeLease(m_owner->lease.lease());
    }

    // Replaces the owner without its notice. It alone reaches the given worker, and no other one.
    void replaceOwnerThatAloneReaches(const std::string &worker)
    {
        m_owner = m_cluster.owner();
        ASSERT_NE(m_owner, nullptr);
        m_owner->store.down = true;
        for (const auto &[name, listing] : m_cluster.workers.listings()) {
            for (const auto &[number, instance] : m_cluster.instances) {
                if ((instance.get() == m_owner) != (name == worker)) {
                    instance->gateway.cutWorkers.insert(name);
                }
            }
        }
        m_cluster.state.revokeLease(m_owner->lease.lease());
        m_cluster.advance(Milliseconds(400));
    }

    // Keeps the store away from all instances. Its leases pause, and all instances confirm the outage in time.
    void keepStoreAway(Milliseconds duration)
    {
        constexpr Milliseconds ConfirmationTime {1'700};
        constexpr Milliseconds Step {100};
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->store.down = true;
        }
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            for (const auto &[number, instance] : m_cluster.instances) {
                instance->ownership.setStoreOutage(passed >= ConfirmationTime);
            }
            m_cluster.advance(Step);
            m_cluster.state.extendLeases(Step);
        }
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->ownership.setStoreOutage(false);
            instance->store.down = instance.get() == m_owner;
        }
    }

    TestInstance *m_owner = nullptr;
};

}

// The successor renewed the lease of a run that the replaced owner took for expired, and each had a run of the task.
TEST_F(ReplacedOwner, startsNoTaskAgainWhoseRunItsSuccessorRenews)
{
    const std::string worker = m_cluster.startLongRunning("job");
    replaceOwnerThatHasLost(worker);
    m_cluster.advance(Second * 12);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 1U);
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
}

// The same for a worker that drains, whose exit does not count as a crash.
TEST_F(ReplacedOwner, startsNoTaskAgainWhoseRunItsSuccessorRenewsOnADrainingWorker)
{
    const std::string worker = m_cluster.startLongRunning("job");
    replaceOwnerThatHasLost(worker);
    std::map<std::string, WorkerListing> listings = m_cluster.workers.listings();
    listings.at(worker).draining = true;
    m_owner->ownership.updateWorkers(listings);
    m_cluster.advance(Second * 12);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
}

// Both owners started a task again whose run the successor had adopted and which then failed. The worker had held a
// report request of the replaced owner, and told it of the end as well.
TEST_F(ReplacedOwner, leavesAnAdoptedRunThatFailedToTheReplacedOwnerWhileWorkersAreUnheard)
{
    m_cluster.workers.setBehaviour("job", {Milliseconds(2'500), 1, false});
    m_cluster.owner()->router.submit(
        TestCluster::job("job", 1, 1), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    m_cluster.advance(Milliseconds(500));
    replaceOwnerThatHasLost(jobs().find("job")->occurrences.at(0).steps[0].tasks[0].worker);
    const auto hasFailed = [this] {
        return std::any_of(m_cluster.instances.begin(), m_cluster.instances.end(), [this](const auto &entry) {
            TestInstance *instance = entry.second.get();
            const auto *leader = instance == m_owner ? nullptr : instance->ownership.leader("fleet");
            const JobState *job = leader == nullptr ? nullptr : leader->jobScheduler().find("job");
            return job != nullptr && !job->occurrences.at(0).steps[0].tasks[0].failedRuns.empty();
        });
    };
    for (int i = 0; i < 60 && !hasFailed(); ++i) {
        m_cluster.advance(Milliseconds(50));
    }
    ASSERT_TRUE(hasFailed());
    m_cluster.advance(Milliseconds(300));
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 1U);
    // All leases of the replaced owner have expired.
    m_cluster.advance(Second * 15);
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// A replaced owner that had stopped took an outage that came later for a reason to go on. It started the task on a
// worker that its successor did not reach, which ran it elsewhere.
TEST_F(ReplacedOwner, doesNotGoOnInALaterOutage)
{
    const std::string worker = m_cluster.startLongRunning("job");
    m_owner = m_cluster.owner();
    m_owner->store.down = true;
    for (const auto &[name, listing] : m_cluster.workers.listings()) {
        if (name != worker) {
            m_owner->gateway.cutWorkers.insert(name);
        }
    }
    for (const auto &[number, instance] : m_cluster.instances) {
        if (instance.get() != m_owner) {
            instance->gateway.cutWorkers.insert(worker);
        }
    }
    m_cluster.advance(Second * 20);
    ASSERT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
    for (const auto &[number, instance] : m_cluster.instances) {
        instance->store.down = true;
        instance->ownership.setStoreOutage(true);
    }
    m_cluster.advance(Second * 5);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 2U);
}

// After an outage that drops all leases the first instance sees no other one registered. A single one that has come
// back must not confirm the next outage for all.
TEST_F(ReplacedOwner, countsInstancesWhoseEntriesHaveLapsed)
{
    m_owner = m_cluster.owner();
    m_cluster.state.expireLeases();
    m_cluster.advance(Milliseconds(20));
    for (const auto &[number, instance] : m_cluster.instances) {
        instance->store.down = true;
    }
    m_cluster.advance(Second * 4);
    EXPECT_FALSE(m_owner->lease.isHeld());
    EXPECT_EQ(m_owner->ownership.otherInstances().size(), TestCluster::InstanceCount - 1U);
}

// An owner that was replaced just before an outage went on in it. Once the store was back its successor, whose wait for
// earlier leases had passed, started the task again beside the run that the old owner had kept until then.
TEST_F(ReplacedOwner, keepsNoRunBesideOneThatItsSuccessorStartsAfterAnOutage)
{
    const std::string worker = m_cluster.startLongRunning("job");
    replaceOwnerThatAloneReaches(worker);
    keepStoreAway(Second * 12);
    m_cluster.advance(Second * 12);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
}

// The replaced owner can ask an instance that has seen its successor, or only the end of its own term.
TEST_F(ReplacedOwner, stopsWhenAnotherInstanceHasSeenTheEndOfItsTerm)
{
    const std::string worker = m_cluster.startLongRunning("job");
    replaceOwnerThatAloneReaches(worker);
    for (const auto &[number, instance] : m_cluster.instances) {
        if (instance.get() != m_owner) {
            ASSERT_NE(m_owner->ownership.leader("fleet"), nullptr);
            m_owner->ownership.applyOwnerRevisions(m_owner->ownership.ownerRevisions());
            EXPECT_NE(m_owner->ownership.leader("fleet"), nullptr);
            m_owner->ownership.applyOwnerRevisions(instance->ownership.ownerRevisions());
            EXPECT_EQ(m_owner->ownership.leader("fleet"), nullptr);
            break;
        }
    }
}

// The same if the successor hands the partition over before the outage.
TEST_F(ReplacedOwner, keepsNoRunBesideOneOfTheNextSuccessorAfterAnOutage)
{
    const std::string worker = m_cluster.startLongRunning("job");
    replaceOwnerThatAloneReaches(worker);
    TestInstance *between = nullptr;
    for (const auto &[number, instance] : m_cluster.instances) {
        if (instance.get() != m_owner && instance->ownership.leader("fleet") != nullptr) {
            between = instance.get();
        }
    }
    ASSERT_NE(between, nullptr);
    m_cluster.advance(Milliseconds(300));
    between->ownership.release([] {});
    m_cluster.advance(Milliseconds(600));
    ASSERT_EQ(between->ownership.leader("fleet"), nullptr);
    keepStoreAway(Second * 12);
    m_cluster.advance(Second * 12);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
    EXPECT_EQ(m_cluster.workers.runningCount(), 1U);
}

}
