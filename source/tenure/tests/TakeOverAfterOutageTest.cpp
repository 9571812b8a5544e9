#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// An instance with little processor time beside strong ones. The test decides what it sees of the cluster's entries.
class TakeOverAfterOutage : public testing::Test
{
protected:
    TakeOverAfterOutage()
    {
        constexpr int StrongInstances = 8;
        m_all.push_back(m_weak);
        for (int i = 0; i < StrongInstances; ++i) {
            const std::string name = "strong-" + std::to_string(i);
            m_all.push_back({name, name, "b", "wheatbelt", "life", 500});
        }
    }

    // Shows these instances, and all partitions as owned by the given one or by none.
    void show(const std::vector<InstanceEntry> &instances, const std::optional<InstanceEntry> &owner)
    {
        StoreListing listing {++m_revision, {}};
        for (const InstanceEntry &instance : instances) {
            listing.entries.push_back({JobKeys::Instances + instance.name, serialize(instance), m_revision, 0});
        }
        for (const std::string &partition : m_plan.partitions()) {
            if (owner) {
                listing.entries.push_back(
                    {JobKeys::owner(partition), serialize(OwnerEntry {*owner, 0}), m_revision, 0});
            }
        }
        m_cluster.applyListing(listing);
    }

    void pass(Milliseconds duration)
    {
        for (Milliseconds passed {0}; passed < duration; passed += JobScheduler::TickPeriod) {
            m_scheduler.advance(JobScheduler::TickPeriod, Milliseconds(20));
            m_state.advance();
            m_ownership.tick();
        }
    }

    // Lets time pass until the instance holds a lease again.
    void passUntilLeaseIsHeld()
    {
        for (int i = 0; i < 20 && !m_lease.isHeld(); ++i) {
            pass(JobScheduler::TickPeriod);
        }
        ASSERT_TRUE(m_lease.isHeld());
    }

    [[nodiscard]] std::size_t logged(const std::string &event) const
    {
        return static_cast<std::size_t>(std::count(m_events.begin(), m_events.end(), event));
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler {m_clock};
    StandinStore m_state {m_clock};
    FakeWorkers m_workers {m_clock};
    InstanceConnections m_connections {m_scheduler, m_state, m_workers};
    PartitionPlan m_plan {std::map<std::string, std::string> {
        {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}}};
    InstanceEntry m_weak {"weak", "weak", "a", "wheatbelt", "life", 120};
    std::vector<InstanceEntry> m_all;
    StoreRevision m_revision = 0;
    std::vector<std::string> m_events;
    InstanceLease m_lease {m_connections.store, m_scheduler, m_clock, {}, JobKeys::Instances + "weak"};
    VersionedEntries m_cluster {[](const std::string &) {
    }};
    PartitionOwnership m_ownership {
        {m_clock, m_scheduler, m_connections.store, m_connections.gateway, m_lease, m_cluster, m_plan,
            [this](std::string_view what, const std::string &subject, const Json &) {
                m_events.push_back(std::string(what) + (what == "authority-changed" ? " " + subject : std::string()));
            }},
        m_weak, {}};
};

}

// The partitions had become vacant before the store went away, so that the time for which weak instances leave them to
// stronger ones ran out while nobody could take them.
TEST_F(TakeOverAfterOutage, leavesPartitionsThatBecameVacantBeforeTheOutageToStrongerInstances)
{
    show(m_all, m_all.back());
    m_lease.start("weak");
    pass(Second);
    ASSERT_TRUE(m_lease.isHeld());
    show(m_all, std::nullopt);
    pass(Milliseconds(200));
    m_connections.store.down = true;
    pass(Second * 6);
    m_connections.store.down = false;
    passUntilLeaseIsHeld();
    show({m_weak}, std::nullopt);
    pass(Second);
    EXPECT_EQ(logged("leader-term-started"), 0U);
    pass(Second * 8);
    EXPECT_EQ(logged("leader-term-started"), m_plan.partitions().size());
}

// A process that starts during an outage knows no other instance, and is the first to register when the store is back.
TEST_F(TakeOverAfterOutage, leavesPartitionsToStrongerInstancesIfItHasStartedDuringTheOutage)
{
    for (const std::string &partition : m_plan.partitions()) {
        m_state.write({JobKeys::head(partition), R"({"tenure": 1})", std::nullopt, 0});
    }
    m_connections.store.down = true;
    m_lease.start("weak");
    pass(Second * 2);
    m_connections.store.down = false;
    passUntilLeaseIsHeld();
    show({m_weak}, std::nullopt);
    pass(Milliseconds(1'500));
    EXPECT_EQ(logged("leader-term-started"), 0U);
    show(m_all, std::nullopt);
    pass(Second);
    EXPECT_EQ(logged("leader-term-started"), 0U);
    pass(Second * 8);
    EXPECT_EQ(logged("leader-term-started"), m_plan.partitions().size());
}

// The store has dropped the lease under which the owner's keys were written. The instance holds a new one before it
// learns from the cluster's entries that the keys are gone.
TEST_F(TakeOverAfterOutage, schedulesNothingUnderAnotherLeaseThanThatOfItsOwnerKeys)
{
    show({m_weak}, std::nullopt);
    m_lease.start("weak");
    pass(Second * 3);
    ASSERT_EQ(logged("leader-term-started"), m_plan.partitions().size());
    show({m_weak}, m_weak);
    m_connections.store.down = true;
    pass(Second * 6);
    ASSERT_EQ(logged("authority-changed observe"), m_plan.partitions().size());
    m_connections.store.down = false;
    passUntilLeaseIsHeld();
    pass(Milliseconds(200));
    EXPECT_EQ(logged("authority-changed full"), 0U);
    EXPECT_EQ(logged("partition-ownership-lost"), m_plan.partitions().size());
}

}
