#include "tenure/RegionalSources.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace Wagtail
{

namespace
{

InstanceEntry instance(const std::string &name, const std::string &region, std::int64_t milliCores)
{
    return {name, name + ":1", region + "-centre", region, "incarnation", milliCores};
}

std::vector<InstanceEntry> instances()
{
    return {instance("a", "north", 120), instance("b", "north", 500), instance("c", "north", 500),
        instance("d", "north", 500), instance("e", "north", 120), instance("f", "south", 500)};
}

}

// Guards against a large entry that each instance of a region fetches over the link to the store's region.
TEST(RegionalSourcesTest, letsOnlyTwoInstancesOfARegionReadTheStore)
{
    std::map<std::string, int> readers;
    int direct = 0;
    for (const InstanceEntry &self : instances()) {
        const std::vector<std::string> sources = regionalSources(self, instances());
        if (self.region == "north" && sources.empty()) {
            ++direct;
            EXPECT_EQ(self.milliCores, 500);
        }
        for (const std::string &source : sources) {
            ++readers[source];
        }
    }
    EXPECT_EQ(direct, 2);
    EXPECT_EQ(readers.size(), 2U);
}

// All others of the region waited for a configuration that a slow instance passed on late.
TEST(RegionalSourcesTest, readsFromNoSlowInstanceWhileThereAreFastOnes)
{
    constexpr std::int64_t UsualProbe = 50;
    constexpr std::int64_t SlowProbe = 250;
    std::vector<InstanceEntry> measured = instances();
    for (InstanceEntry &entry : measured) {
        entry.probeMicroseconds = entry.name == "b" ? SlowProbe : UsualProbe;
    }
    for (const InstanceEntry &self : measured) {
        const std::vector<std::string> sources = regionalSources(self, measured);
        EXPECT_EQ(std::count(sources.begin(), sources.end(), "b:1"), 0) << self.name;
        EXPECT_EQ(sources.empty(), self.name == "c" || self.name == "d" || self.region == "south") << self.name;
    }
}

TEST(RegionalSourcesTest, readsTheStoreInARegionOfOne)
{
    EXPECT_TRUE(regionalSources(instance("f", "south", 500), instances()).empty());
    EXPECT_TRUE(regionalSources(instance("a", "north", 120), {}).empty());
}

}
