#pragma once

#include "base/Clock.h"

#include <optional>

namespace Wagtail
{

// Limits when the probes of starved jobs work on a worker beside serving tasks that are close to their limits, or over
// them, by their own load. A trial is shorter than the time after which interference counts as a violation, and after
// it the probes rest until serving tasks that they do disturb have recovered. So nothing depends on a prediction.
// Load pattern: serving load near its targets on all workers, beside jobs that have nothing running.
class ProbeTrial
{
public:
    // Returns whether a trial has begun and is not over, so that its probes may work.
    [[nodiscard]] bool isOpen(Instant now) const;

    // Returns whether the rest after the last trial is over.
    [[nodiscard]] bool mayBegin(Instant now) const;

    void begin(Instant now);

private:
    std::optional<Instant> m_beganAt;
};

}
