#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

}

// The store ended the leader term, but the cluster's entries of the instance still name it as the owner.
TEST(PartitionOwnership, startsNoTermUnderAnEndedToken)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    FakeWorkers workers(clock);
    InstanceConnections connections(scheduler, state, workers);
    const PartitionPlan plan(std::map<std::string, std::string> {{"depot", "wheatbelt"}});
    InstanceLease lease(connections.store, scheduler, clock, {}, JobKeys::Instances + "instance");
    VersionedEntries cluster([](const std::string &) {});
    const InstanceEntry instance {"instance", "instance", "depot", "wheatbelt", "life", 250};
    std::vector<std::string> startedTerms;
    const auto log = [&startedTerms](std::string_view what, const std::string &, const Json &inputs) {
        if (what == "leader-term-started") {
            startedTerms.push_back(writeJson(inputs));
        }
    };
    PartitionOwnership ownership(
        {clock, scheduler, connections.store, connections.gateway, lease, cluster, plan, log}, instance, {});
    lease.start("instance");
    scheduler.advance(Second);
    ASSERT_TRUE(lease.isHeld());
    constexpr StoreRevision StaleRevision = 2;
    cluster.applyListing(
        {StaleRevision, {{JobKeys::owner("fleet"), serialize(OwnerEntry {instance, 0}), StaleRevision, 0}}});
    ownership.tick();
    scheduler.advance(Milliseconds(200));
    ASSERT_NE(ownership.leader("fleet"), nullptr);
    ownership.leader("fleet")->onOwnershipLost();
    constexpr int Ticks = 20;
    for (int i = 0; i < Ticks; ++i) {
        scheduler.advance(Milliseconds(100));
        ownership.tick();
    }
    ASSERT_EQ(startedTerms.size(), 2U) << testing::PrintToString(startedTerms);
    EXPECT_NE(startedTerms[0], startedTerms[1]);
}

// The store dropped all leases during an outage. The first instance to register again has too little processor time for
// the partitions that the others owned.
TEST(PartitionOwnership, leavesPartitionsToStrongerInstancesThatStillHaveToRegisterAgain)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    FakeWorkers workers(clock);
    InstanceConnections connections(scheduler, state, workers);
    const PartitionPlan plan(std::map<std::string, std::string> {
        {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}});
    InstanceLease lease(connections.store, scheduler, clock, {}, JobKeys::Instances + "weak");
    VersionedEntries cluster([](const std::string &) {});
    const InstanceEntry weak {"weak", "weak", "a", "wheatbelt", "life", 120};
    int takenOver = 0;
    const auto log = [&takenOver](std::string_view what, const std::string &, const Json &) {
        takenOver += what == "leader-term-started" ? 1 : 0;
    };
    PartitionOwnership ownership(
        {clock, scheduler, connections.store, connections.gateway, lease, cluster, plan, log}, weak, {});
    const auto list = [&cluster](StoreRevision revision, const std::vector<InstanceEntry> &owners, bool owned) {
        StoreListing listing {revision, {}};
        for (const InstanceEntry &instance : owners) {
            listing.entries.push_back({JobKeys::Instances + instance.name, serialize(instance), revision, 0});
        }
        for (const std::string partition : {"a", "b", "c", "coastal"}) {
            if (owned) {
                listing.entries.push_back(
                    {JobKeys::owner(partition), serialize(OwnerEntry {owners.back(), 0}), revision, 0});
            }
        }
        cluster.applyListing(listing);
    };
    const auto pass = [&](Milliseconds duration) {
        for (Milliseconds passed {0}; passed < duration; passed += Milliseconds(100)) {
            scheduler.advance(Milliseconds(100));
            ownership.tick();
        }
    };
    std::vector<InstanceEntry> all {weak};
    constexpr int StrongInstances = 8;
    for (int i = 0; i < StrongInstances; ++i) {
        const std::string name = "strong-" + std::to_string(i);
        all.push_back({name, name, "b", "wheatbelt", "life", 500});
    }
    list(1, all, true);
    pass(Second);
    lease.start("weak");
    pass(Second);
    ASSERT_TRUE(lease.isHeld());
    list(2, {weak}, false);
    pass(Second);
    EXPECT_EQ(takenOver, 0);
    pass(Second * 8);
    EXPECT_EQ(takenOver, 4);
}

// Jobs arrive and end continuously while an instance shuts down.
TEST(PartitionOwnership, releasesAPartitionWhileJobsArriveAndEnd)
{
    TestCluster cluster;
    cluster.advance(Second * 2);
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    TestInstance *entry = nullptr;
    for (const auto &[number, instance] : cluster.instances) {
        entry = instance.get() == owner ? entry : instance.get();
    }
    bool released = false;
    int accepted = 0;
    constexpr int Jobs = 60;
    for (int i = 0; i < Jobs; ++i) {
        const std::string id = "job-" + std::to_string(i);
        cluster.workers.setBehaviour(id, {Milliseconds(60), 0, false});
        entry->router.submit(TestCluster::job(id, 1, 1), cluster.clock.now() + Second * 3,
            [&accepted](RouteOutcome outcome) { accepted += outcome == RouteOutcome::Done ? 1 : 0; });
        if (i == Jobs / 4) {
            owner->ownership.release([&released] { released = true; });
        }
        cluster.advance(Milliseconds(20));
        EXPECT_TRUE(released || i < Jobs / 4 + 15);
    }
    cluster.advance(Second * 5);
    EXPECT_EQ(accepted, Jobs);
    for (int i = 0; i < Jobs; ++i) {
        EXPECT_EQ(cluster.phaseOf("job-" + std::to_string(i)), JobPhase::Done);
    }
    EXPECT_EQ(cluster.workers.violations(), std::vector<std::string>());
}

}
