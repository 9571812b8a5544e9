#include "scheduling/CrashEvidence.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Returns whether a task may have crashed the worker just after the last contact with it.
bool mayHaveCrashed(const TaskState &task, const WorkerState &worker)
{
    if (!task.runStartedAt) {
        return false;
    }
    return !task.runConfirmed || worker.lastContact - *task.runStartedAt <= CrashHistory::LikelyLimit;
}

}

std::optional<CrashTiming> crashTiming(const TaskState &task, const WorkerState &worker)
{
    if (!task.runStartedAt || worker.listing.draining) {
        return std::nullopt;
    }
    const bool hasOtherCause = std::any_of(worker.tasks.begin(), worker.tasks.end(),
        [&](const TaskState *other) { return other != &task && mayHaveCrashed(*other, worker); });
    if (!task.runConfirmed) {
        return hasOtherCause ? CrashTiming::Ambiguous : CrashTiming::Unconfirmed;
    }
    const auto lived = worker.lastContact - *task.runStartedAt;
    if (task.step->specification().longRunning && lived > CrashHistory::LongestSuspicion) {
        return std::nullopt;
    }
    if (lived > CrashHistory::PromptLimit) {
        return hasOtherCause ? CrashTiming::LateShared : CrashTiming::Late;
    }
    if (task.runAdopted) {
        return CrashTiming::Unknown;
    }
    return hasOtherCause ? CrashTiming::PromptShared : CrashTiming::Prompt;
}

std::vector<CrashEvidence> crashEvidence(const WorkerState &worker)
{
    std::vector<CrashEvidence> evidence;
    for (const TaskState *task : worker.tasks) {
        if (const std::optional<CrashTiming> timing = crashTiming(*task, worker)) {
            evidence.push_back({{nameOf(*task), task->run}, worker.incarnation, *timing});
        }
    }
    return evidence;
}

}
