#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Decides when an instance tells the others of a change of its speed. Each announcement is a write to the store that
// all instances read.
class SpeedAnnouncement
{
public:
    // Returns whether the time of the processor probe differs enough from the announced one, and notes it as announced.
    [[nodiscard]] bool isDue(std::chrono::microseconds probeTime, Instant now);

    void noteAnnounced(std::chrono::microseconds probeTime, Instant now);

private:
    std::chrono::microseconds m_announced {0};
    Instant m_announcedAt;
};

}
