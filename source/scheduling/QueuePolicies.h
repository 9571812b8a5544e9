#pragma once

#include "scheduling/QueuePolicy.h"

#include <map>

namespace Wagtail
{

// The newest known policy of each queue. Instances learn of a configuration at different times, and a job brings along
// the policy of the instance that accepted it, so that the version decides. A queue that a later configuration does not
// name any more keeps its last policy for the jobs that it still has.
class QueuePolicies
{
public:
    // Takes the policies of a configuration, by queue. Those that are older than the known ones change nothing.
    void update(const std::map<std::string, QueuePolicy> &policies);

    // Returns the newer one of the known policy of a queue and the given one.
    [[nodiscard]] const QueuePolicy &newest(const std::string &queue, const QueuePolicy &given) const;

private:
    std::map<std::string, QueuePolicy> m_policies;
};

[[nodiscard]] Json describe(const std::map<std::string, QueuePolicy> &policies);
[[nodiscard]] std::map<std::string, QueuePolicy> parseQueuePolicies(const Json &document);

}
