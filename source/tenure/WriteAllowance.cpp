#include "tenure/WriteAllowance.h"

#include <algorithm>

namespace Wagtail
{

WriteAllowance::WriteAllowance(const Clock &clock) : m_clock(clock), m_fullAt(clock.now())
{
}

bool WriteAllowance::tryTake()
{
    const Instant now = m_clock.now();
    const Instant fullAt = std::max(m_fullAt, now) + Period;
    if (fullAt - now > Period * MostAtOnce) {
        return false;
    }
    m_fullAt = fullAt;
    return true;
}

}
