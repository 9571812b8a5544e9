#pragma once

#include "scheduling/JobState.h"
#include "scheduling/WorkerGateway.h"

#include <set>

namespace Wagtail
{

// What is known of the incarnation of a worker that follows the one to which tasks were assigned.
struct NextIncarnation
{
    // The runs that it lists as running or ended.
    std::set<RunName> listedRuns;
    // It had started by this time.
    Instant bornBy;
    // When its report was requested.
    Instant requestedAt;

    // Reads the report of the incarnation.
    [[nodiscard]] static NextIncarnation of(const RunReport &report, Instant requestedAt, Instant receivedAt);
};

// What becomes of a task whose worker has restarted.
enum class RestartFate {
    // Its run belongs to the next incarnation, which lists it or is the only one that its start can have reached.
    Kept,
    // Its run ended with the former incarnation.
    Lost,
    // Its start may have ended with the former incarnation, and may still reach the next one.
    Uncertain,
};

// Decides what becomes of a task whose worker has restarted. Its start order named only the worker, so that either
// incarnation may have carried it out.
// Load pattern: a worker that is back within the time between two reports, while starts are sent to it.
[[nodiscard]] RestartFate fateAfterRestart(const TaskState &task, const NextIncarnation &next);

}
