#pragma once

#include "base/Clock.h"
#include "interference/InterferenceModel.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// A batch task that may be slowed or moved to relieve others.
struct MitigationCandidate
{
    std::string task;
    std::string profile;
    bool throttleable = false;
    bool movable = false;
};

// What is to be done about one task of a disturbed worker.
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

// Decides how a worker's urgent work is relieved of the batch work beside it: first throttle the task that is expected
// to harm most, then move it. A step is not followed by the next before its effect can be seen in the lagging
// measurements, and a throttle is lifted only after a longer calm (hysteresis). A decision depends on its inputs and
// on the steps taken before, and on nothing else.
class MitigationPolicy
{
public:
    struct Limits
    {
        double disturbed = 1.0;
        double calm = 0.3;
        Milliseconds effectDelay {4'000};
        Milliseconds calmTime {15'000};
    };

    explicit MitigationPolicy(Limits limits);

    // Takes the present slowdown of a worker's urgent work (zero is undisturbed) and the tasks beside it.
    [[nodiscard]] std::optional<MitigationStep> decide(const std::string &worker, double slowdown,
        const std::string &victim, const std::vector<MitigationCandidate> &candidates, const InterferenceModel &model,
        Instant now);

private:
    struct WorkerState
    {
        std::map<std::string, Instant> throttled;
        Instant nextStep;
        std::optional<Instant> calmSince;
    };

    [[nodiscard]] std::optional<MitigationStep> relieve(WorkerState &state, const std::string &victim,
        const std::vector<MitigationCandidate> &candidates, const InterferenceModel &model) const;
    [[nodiscard]] std::optional<MitigationStep> restore(WorkerState &state, Instant now) const;

    Limits m_limits;
    std::map<std::string, WorkerState> m_workers;
};

}
