#include "scheduling/UnreadEnd.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A run may go on so many times faster than it has been since its start.
constexpr int LargestSpeedUp = 2;
constexpr int CompletePercent = 100;

}

bool mayHaveCompleted(const TaskState &task, Instant leasesExpireAt)
{
    const StepSpecification &step = task.step->specification();
    if (step.longRunning || task.awaitsRecording) {
        return false;
    }
    // These do not work at an even speed: members of a gang wait for each other, backfilling tasks are paused, and a
    // checkpoint is restored first.
    const bool isUneven = step.gang || step.backfills || !task.checkpoint.empty();
    const bool isProgressKnown
        = task.runConfirmed && !task.runAdopted && task.runStartedAt && task.progressRequestedAt > *task.runStartedAt;
    if (isUneven || !isProgressKnown) {
        return true;
    }
    // The percentage is rounded down.
    const int percent = std::min(task.percent + 1, CompletePercent);
    const auto worked = task.progressRequestedAt - *task.runStartedAt;
    const auto remaining = worked * (CompletePercent - percent) / percent;
    return task.progressRequestedAt + remaining / LargestSpeedUp <= leasesExpireAt;
}

bool mayHaveEndedUnread(const TaskState &task, Instant by)
{
    const bool isTooShort
        = task.runStartedAt && by - *task.runStartedAt < task.step->specification().estimate / LargestSpeedUp;
    return !isTooShort && mayHaveCompleted(task, by);
}

}
