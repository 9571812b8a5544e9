#include "scheduling/QueuePolicies.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

QueuePolicy policyOf(const std::string &pool, std::int64_t version)
{
    QueuePolicy policy {"queue", pool, 0, 3, 2.0, Milliseconds(1'000), false};
    policy.version = version;
    return policy;
}

}

// A job arrives from an instance that has not read the newest configuration yet.
TEST(QueuePolicies, preferTheNewestConfiguration)
{
    QueuePolicies policies;
    policies.update({{"queue", policyOf("new", 2)}});
    EXPECT_EQ(policies.newest("queue", policyOf("old", 1)), policyOf("new", 2));
    EXPECT_EQ(policies.newest("queue", policyOf("newer", 3)), policyOf("newer", 3));
    EXPECT_EQ(policies.newest("other", policyOf("old", 1)), policyOf("old", 1));
}

// Records of earlier versions of the program name no version.
TEST(QueuePolicies, preferTheConfigurationToRecordsWithoutAVersion)
{
    QueuePolicies policies;
    policies.update({{"queue", policyOf("new", 2)}});
    EXPECT_EQ(policies.newest("queue", policyOf("old", 0)), policyOf("new", 2));
}

// A new owner has the configuration in force before it reads what an earlier owner has recorded.
TEST(QueuePolicies, keepTheNewerPolicyWhateverComesLast)
{
    QueuePolicies policies;
    policies.update({{"queue", policyOf("new", 2)}});
    policies.update({{"queue", policyOf("old", 1)}});
    EXPECT_EQ(policies.newest("queue", policyOf("old", 0)), policyOf("new", 2));
}

// A queue that is dropped keeps its last policy.
TEST(QueuePolicies, keepThePolicyOfADroppedQueue)
{
    QueuePolicies policies;
    policies.update({{"queue", policyOf("new", 2)}});
    policies.update({});
    EXPECT_EQ(policies.newest("queue", policyOf("old", 1)), policyOf("new", 2));
    EXPECT_EQ(parseQueuePolicies(describe({{"queue", policyOf("new", 2)}})).at("queue"), policyOf("new", 2));
}

}
