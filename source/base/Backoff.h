#pragma once

#include "base/Clock.h"

#include <functional>

namespace Wagtail
{

// Chooses the delays before repeated attempts: each about twice as long as the one before, up to the longest. Each is
// shortened at random by up to a half, so that many callers that failed together do not repeat together.
class Backoff
{
public:
    // The random function returns numbers from 0 to 1.
    Backoff(Milliseconds first, Milliseconds longest, std::function<double()> random = randomFraction);

    // Returns the delay before the next attempt.
    [[nodiscard]] Milliseconds next();

    // Begins again with the first delay. Must be called after a success.
    void reset();

private:
    static double randomFraction();

    Milliseconds m_first;
    Milliseconds m_longest;
    Milliseconds m_next;
    std::function<double()> m_random;
};

}
