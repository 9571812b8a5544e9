#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// What report requests that got no answer may still do on a worker. A worker may carry them out seconds later, and an
// incarnation that follows the one for which they were meant does so as well.
class LateReportRequests
{
public:
    // What a request asks for besides the report.
    struct Effects
    {
        bool acknowledgesEnds = false;
        bool renewsLeases = false;
    };

    // Notes a request that got no answer and was given up at the given time. A late event loop may have put it on the
    // wire only then.
    void unanswered(Instant givenUpAt, Effects effects);

    // Returns until when ends may be acknowledged late. The ends of the next incarnation have the same numbers.
    [[nodiscard]] Instant acknowledgementsEndAt() const;

    // Returns until when leases may be renewed late. The expiry that a request names is a time on the clock of the
    // former incarnation, so the next one may renew its leases for the longest duration.
    [[nodiscard]] Instant renewalsEndAt() const;

private:
    Instant m_acknowledgementsEndAt;
    Instant m_renewalsEndAt;
};

}
