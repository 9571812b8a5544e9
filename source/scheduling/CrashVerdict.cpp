#include "scheduling/CrashVerdict.h"

#include <algorithm>
#include <vector>

namespace Wagtail
{

namespace
{

constexpr std::size_t PromptCrashesToGiveUp = 2;
constexpr std::size_t SoleCrashesToGiveUp = 3;
// Together with a first start whose crash was not counted, a task that crashes its workers is started five times.
constexpr std::size_t CrashesToGiveUp = 4;

// Returns whether so many crashes, by their timing, prove that the task is their cause.
bool isProof(const std::vector<CrashTiming> &crashes)
{
    const auto count = [&crashes](CrashTiming timing) {
        return static_cast<std::size_t>(std::count(crashes.begin(), crashes.end(), timing));
    };
    const std::size_t solePrompt = count(CrashTiming::Prompt);
    const std::size_t promptShared = count(CrashTiming::PromptShared);
    const std::size_t sole
        = crashes.size() - promptShared - count(CrashTiming::LateShared) - count(CrashTiming::Ambiguous);
    const bool isPromptProof = solePrompt > 0 && solePrompt + promptShared >= PromptCrashesToGiveUp;
    return isPromptProof || sole >= SoleCrashesToGiveUp || crashes.size() >= CrashesToGiveUp;
}

std::vector<CrashTiming> countedCrashes(const CrashHistory &history)
{
    std::vector<CrashTiming> crashes;
    for (const auto &[run, crash] : history.crashes()) {
        crashes.push_back(crash.timing);
    }
    return crashes;
}

// Adds the crashes of which it is being found out whether they happened.
std::vector<CrashTiming> possibleCrashes(const CrashHistory &history)
{
    std::vector<CrashTiming> crashes = countedCrashes(history);
    for (const auto &[run, openRun] : history.openRuns()) {
        if (openRun.timingIfCrashed) {
            crashes.push_back(*openRun.timingIfCrashed);
        }
    }
    return crashes;
}

}

CrashVerdict judge(const CrashHistory &history)
{
    if (isProof(countedCrashes(history))) {
        return CrashVerdict::GiveUp;
    }
    return isProof(possibleCrashes(history)) ? CrashVerdict::Wait : CrashVerdict::Retry;
}

bool isNearlyProven(const CrashHistory &history)
{
    if (history.isEmpty()) {
        return false;
    }
    std::vector<CrashTiming> crashes = possibleCrashes(history);
    crashes.push_back(CrashTiming::Late);
    return isProof(crashes);
}

bool mayLostRunsDecide(const CrashHistory &history)
{
    return possibleCrashes(history).size() > history.crashes().size() && isNearlyProven(history);
}

}
