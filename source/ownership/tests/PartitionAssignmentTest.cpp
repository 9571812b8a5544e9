#include "ownership/PartitionAssignment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

// Every partition is assigned to an instance, and no instance gets more than its even share, rounded up.
RC_GTEST_PROP(PartitionAssignment, assignsEveryPartitionWithinAnEvenShare, ())
{
    const int partitions = *rc::gen::inRange(1, 64);
    const auto names = *rc::gen::unique<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
    const std::map<int, std::string> assignment = assignPartitions(partitions, names);
    if (names.empty()) {
        RC_ASSERT(assignment.empty());
        return;
    }
    RC_ASSERT(assignment.size() == static_cast<std::size_t>(partitions));
    std::map<std::string, std::size_t> load;
    for (const auto &[partition, instance] : assignment) {
        ++load[instance];
    }
    const std::size_t share = (static_cast<std::size_t>(partitions) + names.size() - 1) / names.size();
    for (const auto &[instance, count] : load) {
        RC_ASSERT(count <= share);
    }
}

TEST(PartitionAssignment, doesNotDependOnTheOrderOfTheInstances)
{
    EXPECT_EQ(assignPartitions(8, {"a", "b", "c"}), assignPartitions(8, {"c", "a", "b"}));
}

}
