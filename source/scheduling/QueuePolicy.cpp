#include "scheduling/QueuePolicy.h"

#include <algorithm>

namespace Wagtail
{

bool QueuePolicy::hasSameRules(const QueuePolicy &other) const
{
    QueuePolicy sameVersion = other;
    sameVersion.version = version;
    return *this == sameVersion;
}

Json describe(const QueuePolicy &policy)
{
    return {{"queue", policy.queue}, {"pool", policy.pool}, {"priority", policy.priority},
        {"attempts", policy.maximumAttempts}, {"stretch", policy.stretch},
        {"latency_target_ms", policy.latencyTarget.count()}, {"advised", policy.advised}, {"version", policy.version}};
}

QueuePolicy parseQueuePolicy(const Json &document)
{
    QueuePolicy policy;
    policy.queue = memberOr(document, "queue", policy.queue);
    policy.pool = memberOr(document, "pool", policy.pool);
    policy.priority = memberOr(document, "priority", policy.priority);
    policy.maximumAttempts = std::max(1, memberOr(document, "attempts", policy.maximumAttempts));
    policy.stretch = std::clamp(memberOr(document, "stretch", policy.stretch), 0.0, MaximumStretch);
    policy.latencyTarget
        = std::clamp(Milliseconds(memberOr(document, "latency_target_ms", policy.latencyTarget.count())),
            Milliseconds(0), MaximumLatencyTarget);
    policy.advised = memberOr(document, "advised", policy.advised);
    policy.version = std::max(std::int64_t {0}, memberOr(document, "version", policy.version));
    return policy;
}

}
