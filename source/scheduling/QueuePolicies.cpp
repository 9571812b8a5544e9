#include "scheduling/QueuePolicies.h"

namespace Wagtail
{

void QueuePolicies::update(const std::map<std::string, QueuePolicy> &policies)
{
    for (const auto &[queue, policy] : policies) {
        const auto [known, isNew] = m_policies.try_emplace(queue, policy);
        if (!isNew && policy.version >= known->second.version) {
            known->second = policy;
        }
    }
}

const QueuePolicy &QueuePolicies::newest(const std::string &queue, const QueuePolicy &given) const
{
    const auto known = m_policies.find(queue);
    return known == m_policies.end() || given.version > known->second.version ? given : known->second;
}

Json describe(const std::map<std::string, QueuePolicy> &policies)
{
    Json document = Json::object();
    for (const auto &[queue, policy] : policies) {
        document[queue] = describe(policy);
    }
    return document;
}

std::map<std::string, QueuePolicy> parseQueuePolicies(const Json &document)
{
    std::map<std::string, QueuePolicy> policies;
    if (!document.is_object()) {
        return policies;
    }
    for (const auto &[queue, policy] : document.items()) {
        policies[queue] = parseQueuePolicy(policy);
    }
    return policies;
}

}
