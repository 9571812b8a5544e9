#pragma once

#include "scheduling/BackfillProbe.h"

#include <map>
#include <string>

namespace Wagtail
{

// Counts why the workers that have room for a waiting backfilling task do not take it, and do not take it as a probe.
// Each worker counts under the first reason that applies.
struct BackfillSurvey
{
    // Too few processors are unused.
    int used = 0;
    // A serving task is over its target, without and because of backfilling tasks.
    int overTarget = 0;
    int overTargetByBackfill = 0;
    // A serving task is predicted to come too close to its limit.
    int predicted = 0;
    // Nothing speaks against a start.
    int acceptable = 0;

    // Another probe is there.
    int probed = 0;
    // A serving task is too close to its limit for a probe.
    int withoutHeadroom = 0;
    // Nothing speaks against a start as an overdue probe.
    int probeable = 0;

    // The processors that the tasks on the pool's workers are expected to use, and those that the workers have.
    std::int64_t expectedMilliCores = 0;
    std::int64_t milliCores = 0;

    bool operator==(const BackfillSurvey &) const = default;
};

[[nodiscard]] BackfillSurvey surveyBackfill(const std::map<std::string, WorkerState> &workers, const StepState &step,
    const BackfillInterferenceModel &model, Instant now);

[[nodiscard]] Json describe(const BackfillSurvey &survey);

}
