#include "scheduling/ProbeTrial.h"

namespace Wagtail
{

namespace
{

// Covers the start of a task and two reports, to learn from. Together with the report that ends the trial it is two
// thirds of the time after which interference counts as a violation.
constexpr Milliseconds TrialTime {1'200};
// Longer than a tail latency takes to recover from interference that has ended.
constexpr Milliseconds RestTime {3'000};

}

bool ProbeTrial::isOpen(Instant now) const
{
    return m_beganAt && now - *m_beganAt < TrialTime;
}

bool ProbeTrial::mayBegin(Instant now) const
{
    return !m_beganAt || now - *m_beganAt >= TrialTime + RestTime;
}

void ProbeTrial::begin(Instant now)
{
    m_beganAt = now;
}

}
