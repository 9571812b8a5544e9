#include "responsiveness/SpeedAnnouncement.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds ShortestPause {2'000};
constexpr int PercentOfChange = 160;
constexpr int Percent = 100;

bool isClearlyLonger(std::chrono::microseconds left, std::chrono::microseconds right)
{
    return left * Percent >= right * PercentOfChange && left > right;
}

}

bool SpeedAnnouncement::isDue(std::chrono::microseconds probeTime, Instant now)
{
    const bool hasChanged = isClearlyLonger(probeTime, m_announced) || isClearlyLonger(m_announced, probeTime);
    if (!hasChanged || now - m_announcedAt < ShortestPause) {
        return false;
    }
    noteAnnounced(probeTime, now);
    return true;
}

void SpeedAnnouncement::noteAnnounced(std::chrono::microseconds probeTime, Instant now)
{
    m_announced = probeTime;
    m_announcedAt = now;
}

}
