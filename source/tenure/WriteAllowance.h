#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Limits how many writes to the store callers can cause with requests about jobs that do not exist, because all
// instances share the store's limit of writes.
class WriteAllowance
{
public:
    // So many writes may come at once.
    static constexpr int MostAtOnce = 20;
    // One more is allowed each time that this has passed.
    static constexpr Milliseconds Period {200};

    explicit WriteAllowance(const Clock &clock);

    // Takes one write from the allowance. Returns false if none is left.
    [[nodiscard]] bool tryTake();

private:
    const Clock &m_clock;
    // When the whole allowance is available again.
    Instant m_fullAt;
};

}
