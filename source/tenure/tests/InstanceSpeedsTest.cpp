#include "tenure/InstanceSpeeds.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

InstanceEntry instance(const std::string &name, std::int64_t milliCores, std::int64_t probeMicroseconds)
{
    InstanceEntry entry;
    entry.name = name;
    entry.address = name;
    entry.milliCores = milliCores;
    entry.probeMicroseconds = probeMicroseconds;
    return entry;
}

}

// An instance that runs five times slower than its equals must not count with all of its nominal processor time.
TEST(InstanceSpeeds, reducesTheProcessorTimeOfSlowInstances)
{
    const InstanceEntry fast = instance("fast", 250, 50);
    const InstanceEntry slow = instance("slow", 250, 250);
    const InstanceSpeeds speeds({fast, slow});
    EXPECT_FALSE(speeds.isSlow(fast));
    EXPECT_EQ(speeds.effectiveMilliCores(fast), 250);
    EXPECT_TRUE(speeds.isSlow(slow));
    EXPECT_EQ(speeds.effectiveMilliCores(slow), 50);
}

// Small differences between measurements must not change the order in which instances take partitions over.
TEST(InstanceSpeeds, ignoresSmallDifferences)
{
    const InstanceEntry fast = instance("fast", 250, 50);
    const InstanceEntry usual = instance("usual", 250, 99);
    const InstanceSpeeds speeds({fast, usual});
    EXPECT_FALSE(speeds.isSlow(usual));
    EXPECT_EQ(speeds.effectiveMilliCores(usual), 250);
}

// An instance with a small share of a processor may need longer than one with a large share without being slow.
TEST(InstanceSpeeds, comparesInstancesOfEqualShares)
{
    const InstanceEntry large = instance("large", 500, 25);
    const InstanceEntry small = instance("small", 120, 104);
    const InstanceSpeeds speeds({large, small});
    EXPECT_FALSE(speeds.isSlow(small));
}

// The only instance with its share must not pass for fast however slow it is.
TEST(InstanceSpeeds, findsASlowInstanceThatIsTheOnlyOneOfItsShare)
{
    const InstanceEntry usual = instance("usual", 250, 50);
    const InstanceEntry slow = instance("slow", 500, 250);
    const InstanceSpeeds speeds({usual, slow});
    EXPECT_TRUE(speeds.isSlow(slow));
    EXPECT_EQ(speeds.effectiveMilliCores(slow), 100);
    EXPECT_FALSE(speeds.isSlow(usual));
}

// Processes of earlier versions do not measure their speed.
TEST(InstanceSpeeds, takesInstancesWithoutAMeasurementForUsual)
{
    const InstanceEntry measured = instance("measured", 250, 50);
    const InstanceEntry earlier = instance("earlier", 250, 0);
    const InstanceSpeeds speeds({measured, earlier});
    EXPECT_FALSE(speeds.isSlow(earlier));
    EXPECT_FALSE(InstanceSpeeds({earlier}).isSlow(earlier));
    EXPECT_EQ(speeds.effectiveMilliCores(earlier), 250);
}

// An instance without an equal was never slow, so it kept its partitions and came first however slow it was.
TEST(InstanceSpeeds, noticesASlowInstanceThatIsTheOnlyOneOfItsShare)
{
    const InstanceEntry usual = instance("usual", 250, 50);
    const InstanceEntry slow = instance("slow", 500, 250);
    EXPECT_TRUE(InstanceSpeeds({usual, slow}).isSlow(slow));
}

}
