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

bool mayHaveCompleted(const TaskState &task, Instant lastContact, Instant by)
{
    if (task.step->specification().longRunning || task.awaitsRecording) {
        return false;
    }
    const bool isProgressKnown
        = task.runConfirmed && !task.runAdopted && task.runStartedAt && lastContact > *task.runStartedAt;
    if (!isProgressKnown) {
        return true;
    }
    // The percentage is rounded down.
    const int percent = std::min(task.percent + 1, CompletePercent);
    const auto worked = lastContact - *task.runStartedAt;
    const auto remaining = worked * (CompletePercent - percent) / percent;
    return lastContact + remaining / LargestSpeedUp <= by;
}

}
