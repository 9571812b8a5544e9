#pragma once

#include "base/Clock.h"

#include <deque>

namespace Wagtail
{

// How late timers of the event loop fired within the last WindowLength.
class LoopDelayWindow
{
public:
    static constexpr Milliseconds WindowLength {2'000};

    void add(Instant at, Milliseconds delay);

    // Returns whether measurements cover the window.
    [[nodiscard]] bool isComplete(Instant now) const;

    // Return zero if there are no measurements.
    [[nodiscard]] Milliseconds mean() const;
    [[nodiscard]] Milliseconds longest() const;

private:
    struct Measurement
    {
        Instant at;
        Milliseconds delay;
    };

    std::deque<Measurement> m_measurements;
    Instant m_firstAt;
};

}
