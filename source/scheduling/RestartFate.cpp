#include "scheduling/RestartFate.h"

namespace Wagtail
{

namespace
{

// Allows for the rounding of the worker's clock to milliseconds.
constexpr Milliseconds RoundingMargin {20};

}

NextIncarnation NextIncarnation::of(const RunReport &report, Instant requestedAt, Instant receivedAt)
{
    // The worker's clock starts with the incarnation and is never fast.
    NextIncarnation next {{}, receivedAt - Milliseconds(report.workerClock) + RoundingMargin, requestedAt};
    for (const RunningTask &running : report.running) {
        next.listedRuns.insert(running.run);
    }
    for (const EndedTask &ended : report.ended) {
        next.listedRuns.insert(ended.run);
    }
    return next;
}

RestartFate fateAfterRestart(const TaskState &task, const NextIncarnation &next)
{
    if (task.awaitsRecording) {
        // Its start was not sent.
        return RestartFate::Lost;
    }
    const bool sentToNext = task.runStartedAt && *task.runStartedAt > next.bornBy;
    const bool mayBeUnlisted = task.phase == RunPhase::Running && task.lastOrderAnswered >= next.requestedAt;
    const bool acceptedByNext = task.isWithNextIncarnation && mayBeUnlisted;
    if (sentToNext || acceptedByNext || next.listedRuns.contains({nameOf(task), task.run})) {
        return RestartFate::Kept;
    }
    // An earlier order of a run may still arrive when a repeated one has been accepted.
    const bool mayArrive = task.deliveryUncertain || (!task.runConfirmed && task.orderPending);
    return mayArrive || mayBeUnlisted ? RestartFate::Uncertain : RestartFate::Lost;
}

}
