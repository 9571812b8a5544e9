#include "scheduling/CrashVerdict.h"

#include <algorithm>
#include <vector>

namespace Wagtail
{

namespace
{

constexpr std::size_t PromptCrashesToGiveUp = 2;
constexpr std::size_t CrashesToGiveUp = 3;

// Returns whether so many crashes, by their timing, prove that the task is their cause.
bool isProof(const std::vector<CrashTiming> &crashes)
{
    const auto count = [&crashes](CrashTiming timing) {
        return static_cast<std::size_t>(std::count(crashes.begin(), crashes.end(), timing));
    };
    const bool allPrompt = count(CrashTiming::Prompt) == crashes.size();
    const std::size_t counted = crashes.size() - count(CrashTiming::Ambiguous);
    return counted >= CrashesToGiveUp || (allPrompt && counted >= PromptCrashesToGiveUp);
}

}

CrashVerdict judge(const CrashHistory &history)
{
    std::vector<CrashTiming> crashes;
    for (const auto &[run, crash] : history.crashes()) {
        crashes.push_back(crash.timing);
    }
    if (isProof(crashes)) {
        return CrashVerdict::GiveUp;
    }
    for (const auto &[run, openRun] : history.openRuns()) {
        if (openRun.timingIfCrashed) {
            crashes.push_back(*openRun.timingIfCrashed);
        }
    }
    return isProof(crashes) ? CrashVerdict::Wait : CrashVerdict::Retry;
}

}
