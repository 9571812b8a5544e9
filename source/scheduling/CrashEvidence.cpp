#include "scheduling/CrashEvidence.h"

#include "scheduling/UnreadEnd.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Returns how long a confirmed run had lasted at the last contact with its worker, or nothing if it was not confirmed.
std::optional<Milliseconds> lifetime(const TaskState &task, const WorkerState &worker)
{
    if (!task.runConfirmed || !task.runStartedAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(worker.lastContact - *task.runStartedAt);
}

// Returns whether another task explains a crash of the worker at least as well, because it was started later.
bool explainsCrash(const TaskState &other, const TaskState &task, const WorkerState &worker)
{
    if (&other == &task || !other.runStartedAt) {
        return false;
    }
    // A run that was not confirmed may not even have begun.
    const Milliseconds own = lifetime(task, worker).value_or(CrashHistory::LikelyLimit);
    const Milliseconds longest = std::clamp(own, CrashHistory::PromptLimit, CrashHistory::LikelyLimit);
    return lifetime(other, worker).value_or(Milliseconds(0)) <= longest;
}

}

std::optional<CrashTiming> crashTiming(const TaskState &task, const WorkerState &worker, Instant crashedBy)
{
    if (!task.runStartedAt || worker.listing.draining) {
        return std::nullopt;
    }
    const bool hasOtherCause = std::any_of(worker.tasks.begin(), worker.tasks.end(),
        [&](const TaskState *other) { return explainsCrash(*other, task, worker); });
    const std::optional<Milliseconds> lived = lifetime(task, worker);
    if (!lived) {
        return hasOtherCause ? CrashTiming::Ambiguous : CrashTiming::Unconfirmed;
    }
    if (task.step->specification().longRunning && *lived > CrashHistory::LongestSuspicion) {
        return std::nullopt;
    }
    if (*lived > CrashHistory::PromptLimit) {
        return hasOtherCause ? CrashTiming::LateShared : CrashTiming::Late;
    }
    if (task.runAdopted) {
        return hasOtherCause ? CrashTiming::Ambiguous : CrashTiming::Unknown;
    }
    if (mayHaveEndedUnread(task, std::min(crashedBy, worker.leaseExpiry().value_or(crashedBy)))) {
        return hasOtherCause ? CrashTiming::Ambiguous : CrashTiming::PromptUnread;
    }
    return hasOtherCause ? CrashTiming::PromptShared : CrashTiming::Prompt;
}

std::vector<CrashEvidence> crashEvidence(const WorkerState &worker, Instant crashedBy)
{
    std::vector<CrashEvidence> evidence;
    for (const TaskState *task : worker.tasks) {
        if (const std::optional<CrashTiming> timing = crashTiming(*task, worker, crashedBy)) {
            evidence.push_back({{nameOf(*task), task->run}, worker.incarnation, *timing});
        }
    }
    return evidence;
}

}
