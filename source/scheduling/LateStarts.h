#pragma once

#include "scheduling/WorkerGateway.h"

#include <map>

namespace Wagtail
{

// Start orders to one worker that got no answer. A worker may carry them out seconds later, and an incarnation that
// follows the one for which they were meant does so as well, even if that one has refused or stopped the run since.
class LateStarts
{
public:
    // Notes an order to start a run that got no answer and was given up at the given time. A late event loop may have
    // put it on the wire only then.
    void unanswered(const RunName &run, Instant givenUpAt);

    // Returns the runs that the worker may start after the given time, and until when.
    [[nodiscard]] std::map<RunName, Instant> after(Instant now) const;

    // Returns until when the worker may start any of the runs.
    [[nodiscard]] Instant endAt() const;

private:
    std::map<RunName, Instant> m_startUntil;
    Instant m_endAt;
};

}
