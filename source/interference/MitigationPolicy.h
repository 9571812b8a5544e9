#pragma once

#include "base/Clock.h"
#include "interference/InterferenceModel.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// A batch task that may be throttled or moved to protect the latency-critical work on its worker.
struct MitigationCandidate
{
    std::string task;
    std::string profile;
    bool throttleable = false;
    bool movable = false;
};

// An action on one task of a worker whose latency-critical work is slowed down.
struct MitigationStep
{
    enum class Kind {
        Throttle,
        Move,
        Restore,
    };

    Kind kind = Kind::Throttle;
    std::string task;

    bool operator==(const MitigationStep &) const = default;
};

// Protects the latency-critical work of a worker from its batch tasks: throttles the task that is expected to harm
// most, then moves it. The measurements lag, so the next step waits until the effect of the last one shows. A throttle
// is removed only after the slowdown has been low for a longer time (hysteresis). Decisions depend on the arguments and
// on earlier steps only.
class MitigationPolicy
{
public:
    struct Limits
    {
        // Relative slowdown above which a step is taken.
        double mitigationThreshold = 1.0;
        // Relative slowdown up to which throttles may be removed.
        double restoreThreshold = 0.3;
        // Time until a step shows in the measurements.
        Milliseconds effectDelay {4'000};
        // Time that the slowdown has to stay low before each removal of a throttle.
        Milliseconds restoreDelay {15'000};
    };

    explicit MitigationPolicy(Limits limits);

    // Returns the next step for a worker, or nothing. The slowdown is that of the victim, a latency-critical profile on
    // the worker (zero means none); the candidates are the batch tasks there.
    [[nodiscard]] std::optional<MitigationStep> decide(const std::string &worker, double slowdown,
        const std::string &victim, const std::vector<MitigationCandidate> &candidates, const InterferenceModel &model,
        Instant now);

private:
    struct WorkerState
    {
        std::map<std::string, Instant> throttled;
        Instant nextStep;
        std::optional<Instant> belowThresholdSince;
    };

    [[nodiscard]] std::optional<MitigationStep> mitigate(WorkerState &state, const std::string &victim,
        const std::vector<MitigationCandidate> &candidates, const InterferenceModel &model) const;
    [[nodiscard]] std::optional<MitigationStep> restore(WorkerState &state, Instant now) const;

    Limits m_limits;
    std::map<std::string, WorkerState> m_workers;
};

}
