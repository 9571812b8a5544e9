#include "scheduling/LateStarts.h"

#include "scheduling/LateCall.h"

#include <algorithm>

namespace Wagtail
{

void LateStarts::unanswered(const RunName &run, Instant givenUpAt)
{
    std::erase_if(m_startUntil, [givenUpAt](const auto &entry) { return entry.second <= givenUpAt; });
    Instant &until = m_startUntil[run];
    until = std::max(until, givenUpAt + LongestLateCall);
    m_endAt = std::max(m_endAt, until);
}

std::map<RunName, Instant> LateStarts::after(Instant now) const
{
    std::map<RunName, Instant> runs = m_startUntil;
    std::erase_if(runs, [now](const auto &entry) { return entry.second <= now; });
    return runs;
}

Instant LateStarts::endAt() const
{
    return m_endAt;
}

}
