#include "http/CallDeadline.h"

#include <algorithm>

namespace Wagtail
{

CallDeadline::CallDeadline(const HttpCall &call) : m_timeout(call.timeoutMilliseconds), m_longAnswer(call.longAnswer)
{
}

void CallDeadline::begin(Instant now)
{
    m_stalledAt = now + m_timeout;
    m_endsAt = m_longAnswer ? now + Milliseconds(m_longAnswer->totalMilliseconds) : m_stalledAt;
}

void CallDeadline::noteProgress(Instant now)
{
    if (!admitsAnswer(now)) {
        return;
    }
    if (m_longAnswer) {
        m_stalledAt = now + Milliseconds(m_longAnswer->stallMilliseconds);
        m_foundOverAt.reset();
    } else if (isLoopLate(now)) {
        beginAnew(now);
    }
}

bool CallDeadline::admitSending(Instant now)
{
    if (now < time()) {
        return true;
    }
    if (!isLoopLate(now) || now - time() > LongestLoopDelay) {
        return false;
    }
    beginAnew(now);
    return true;
}

bool CallDeadline::admitWaiting(Instant now)
{
    const bool isFirst = !m_foundOverAt;
    m_foundOverAt = m_foundOverAt.value_or(now);
    return (isFirst || isLoopLate(now)) && admitsAnswer(now);
}

bool CallDeadline::admitsAnswer(Instant now) const
{
    return now - time() <= LongestLoopDelay;
}

Instant CallDeadline::time() const
{
    return std::min(m_stalledAt, m_endsAt);
}

bool CallDeadline::isLoopLate(Instant now) const
{
    return !m_hasBegunAnew && m_foundOverAt.value_or(now) - time() >= ShortestLoopDelay;
}

void CallDeadline::beginAnew(Instant now)
{
    m_hasBegunAnew = true;
    m_foundOverAt.reset();
    m_stalledAt = now + m_timeout;
    m_endsAt = m_longAnswer ? m_endsAt : m_stalledAt;
}

}
