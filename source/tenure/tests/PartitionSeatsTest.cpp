#include "TenureWorld.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

}

// The store ended the tenure, but the instance's view of the cluster still names it as the owner.
TEST(PartitionSeats, doNotBeginAgainUnderAnEndedToken)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    FakeWorkers workers(clock);
    InstanceWires wires(scheduler, state, workers);
    const PartitionPlan plan(std::map<std::string, std::string> {{"depot", "wheatbelt"}});
    InstanceLease lease(wires.store, scheduler, clock, {}, JobKeys::Instances + "instance");
    VersionedEntries cluster([](const std::string &) {});
    const InstanceCard card {"instance", "instance", "depot", "wheatbelt", "life", 250};
    std::vector<std::string> begun;
    const auto log = [&begun](std::string_view what, const std::string &, const Json &inputs) {
        if (what == "tenure-begins") {
            begun.push_back(writeJson(inputs));
        }
    };
    PartitionSeats seats({clock, scheduler, wires.store, wires.gateway, lease, cluster, plan, log}, card, {});
    lease.start("instance");
    scheduler.advance(Second);
    ASSERT_TRUE(lease.isHeld());
    constexpr StoreRevision StaleRevision = 2;
    cluster.applyListing(
        {StaleRevision, {{JobKeys::owner("fleet"), serialize(OwnerCard {card, 0}), StaleRevision, 0}}});
    seats.tick();
    scheduler.advance(Milliseconds(200));
    ASSERT_NE(seats.keeper("fleet"), nullptr);
    seats.keeper("fleet")->onDeposed();
    constexpr int Ticks = 20;
    for (int i = 0; i < Ticks; ++i) {
        scheduler.advance(Milliseconds(100));
        seats.tick();
    }
    ASSERT_EQ(begun.size(), 2U) << testing::PrintToString(begun);
    EXPECT_NE(begun[0], begun[1]);
}

// Load: a store that dropped all leases while it was away. The instance that is back first is too weak for what the
// others owned.
TEST(PartitionSeats, leavePartitionsToStrongerInstancesThatAreOnTheirWayBack)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    FakeWorkers workers(clock);
    InstanceWires wires(scheduler, state, workers);
    const PartitionPlan plan(std::map<std::string, std::string> {
        {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}});
    InstanceLease lease(wires.store, scheduler, clock, {}, JobKeys::Instances + "weak");
    VersionedEntries cluster([](const std::string &) {});
    const InstanceCard weak {"weak", "weak", "a", "wheatbelt", "life", 120};
    int taken = 0;
    const auto log = [&taken](std::string_view what, const std::string &, const Json &) {
        taken += what == "tenure-begins" ? 1 : 0;
    };
    PartitionSeats seats({clock, scheduler, wires.store, wires.gateway, lease, cluster, plan, log}, weak, {});
    const auto list = [&cluster](StoreRevision revision, const std::vector<InstanceCard> &owners, bool owned) {
        StoreListing listing {revision, {}};
        for (const InstanceCard &card : owners) {
            listing.entries.push_back({JobKeys::Instances + card.name, serialize(card), revision, 0});
        }
        for (const std::string partition : {"a", "b", "c", "coastal"}) {
            if (owned) {
                listing.entries.push_back(
                    {JobKeys::owner(partition), serialize(OwnerCard {owners.back(), 0}), revision, 0});
            }
        }
        cluster.applyListing(listing);
    };
    const auto pass = [&](Milliseconds duration) {
        for (Milliseconds passed {0}; passed < duration; passed += Milliseconds(100)) {
            scheduler.advance(Milliseconds(100));
            seats.tick();
        }
    };
    std::vector<InstanceCard> all {weak};
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
    EXPECT_EQ(taken, 0);
    pass(Second * 8);
    EXPECT_EQ(taken, 4);
}

// Load: jobs that come in and end all the time while an instance is asked to stop.
TEST(PartitionSeats, releaseAPartitionWhileItsJobsGoOn)
{
    TenureWorld world;
    world.advance(Second * 2);
    TenureInstance *owner = world.owner();
    ASSERT_NE(owner, nullptr);
    TenureInstance *entry = nullptr;
    for (const auto &[number, instance] : world.instances) {
        entry = instance.get() == owner ? entry : instance.get();
    }
    bool released = false;
    int accepted = 0;
    constexpr int Jobs = 60;
    for (int i = 0; i < Jobs; ++i) {
        const std::string id = "job-" + std::to_string(i);
        world.workers.setBehaviour(id, {Milliseconds(60), 0, false});
        entry->router.submit(TenureWorld::job(id, 1, 1), world.clock.now() + Second * 3,
            [&accepted](RouteOutcome outcome) { accepted += outcome == RouteOutcome::Done ? 1 : 0; });
        if (i == Jobs / 4) {
            owner->seats.release([&released] { released = true; });
        }
        world.advance(Milliseconds(20));
        EXPECT_TRUE(released || i < Jobs / 4 + 15);
    }
    world.advance(Second * 5);
    EXPECT_EQ(accepted, Jobs);
    for (int i = 0; i < Jobs; ++i) {
        EXPECT_EQ(world.phaseOf("job-" + std::to_string(i)), JobPhase::Done);
    }
    EXPECT_EQ(world.workers.violations(), std::vector<std::string>());
}

}
