#include "scheduling/LateReportRequests.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// How long after it was sent a worker may still carry out a request that got no answer.
constexpr Milliseconds LongestLateCall {6'000};

}

void LateReportRequests::unanswered(Instant sentAt, Effects effects)
{
    const Instant until = sentAt + LongestLateCall;
    if (effects.acknowledgesEnds) {
        m_acknowledgementsEndAt = std::max(m_acknowledgementsEndAt, until);
    }
    if (effects.renewsLeases) {
        m_renewalsEndAt = std::max(m_renewalsEndAt, until);
    }
}

Instant LateReportRequests::acknowledgementsEndAt() const
{
    return m_acknowledgementsEndAt;
}

Instant LateReportRequests::renewalsEndAt() const
{
    return m_renewalsEndAt;
}

}
