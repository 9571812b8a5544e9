#include "tenure/RelayOrder.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

InstanceEntry instance(const std::string &name, const std::string &region, std::int64_t probeMicroseconds)
{
    InstanceEntry entry;
    entry.name = name;
    entry.address = name;
    entry.region = region;
    entry.milliCores = 250;
    entry.probeMicroseconds = probeMicroseconds;
    return entry;
}

}

// An instance that the store turns away must not send its calls through a neighbour that answers late.
TEST(RelayOrder, putsSlowInstancesLast)
{
    const std::vector<InstanceEntry> instances
        = {instance("slow", "north", 250), instance("far", "south", 50), instance("near", "north", 50)};
    EXPECT_EQ(relayOrder("north", instances), (std::vector<std::string> {"near", "far", "slow"}));
}

}
