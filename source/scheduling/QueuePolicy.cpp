#include "scheduling/QueuePolicy.h"

namespace Wagtail
{

Json describe(const QueuePolicy &policy)
{
    return {{"queue", policy.queue}, {"pool", policy.pool}, {"priority", policy.priority},
        {"attempts", policy.maximumAttempts}, {"stretch", policy.stretch},
        {"latency_target_ms", policy.latencyTarget.count()}, {"advised", policy.advised}};
}

QueuePolicy parseQueuePolicy(const Json &document)
{
    QueuePolicy policy;
    policy.queue = memberOr(document, "queue", policy.queue);
    policy.pool = memberOr(document, "pool", policy.pool);
    policy.priority = memberOr(document, "priority", policy.priority);
    policy.maximumAttempts = memberOr(document, "attempts", policy.maximumAttempts);
    policy.stretch = memberOr(document, "stretch", policy.stretch);
    policy.latencyTarget = Milliseconds(memberOr(document, "latency_target_ms", policy.latencyTarget.count()));
    policy.advised = memberOr(document, "advised", policy.advised);
    return policy;
}

}
