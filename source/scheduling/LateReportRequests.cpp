#include "scheduling/LateReportRequests.h"

#include "scheduling/LateCall.h"

#include <algorithm>

namespace Wagtail
{

void LateReportRequests::unanswered(Instant givenUpAt, Effects effects)
{
    const Instant until = givenUpAt + LongestLateCall;
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
