#pragma once

#include "base/Clock.h"
#include "base/Resources.h"

#include <vector>

namespace Wagtail
{

// The capacity of a worker over time. After it has shrunk, the former capacity stays permitted for a while, because
// the listings that tell of the change arrive late.
class CapacityHistory
{
public:
    // Sets the capacity from the given time on. Times must not decrease.
    void change(Instant now, const Resources &capacity)
    {
        m_changes.push_back({now, capacity});
    }

    // Returns the largest capacity, in each dimension, that starts may use at the given time.
    [[nodiscard]] Resources permitted(Instant now) const
    {
        Resources largest;
        for (std::size_t i = 0; i < m_changes.size(); ++i) {
            const bool current = i + 1 == m_changes.size();
            if (current || now - m_changes[i + 1].since < NoticeTime) {
                largest = largest.maximum(m_changes[i].capacity);
            }
        }
        return largest;
    }

private:
    // The contact time of the platform, 4 s, and one heartbeat of the workers.
    static constexpr Milliseconds NoticeTime {5'000};

    struct Change
    {
        Instant since;
        Resources capacity;
    };

    std::vector<Change> m_changes;
};

}
