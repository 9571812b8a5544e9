#include "membership/InstanceLease.h"
#include "testing/FaultyStore.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// An earlier description was written while the write of a newer one failed. The entry stayed out of date for good, so
// that an instance that had turned slow counted as fast.
TEST(InstanceLease, writesTheLastDescriptionAgainIfOnlyAnEarlierOneArrived)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    StandinStore state(clock);
    FaultyStore store(state, scheduler);
    InstanceLease lease(store, scheduler, clock, {}, "instance");
    lease.start("first");
    scheduler.advance(Milliseconds(500));
    store.delay = Milliseconds(50);
    lease.updateDescription("second");
    store.down = true;
    lease.updateDescription("third");
    store.down = false;
    scheduler.advance(Milliseconds(5'000), Milliseconds(20));
    const auto entry = state.read("instance");
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(entry->value, "third");
}

}
