#include "base/Backoff.h"

#include <algorithm>
#include <random>

namespace Wagtail
{

Backoff::Backoff(Milliseconds first, Milliseconds longest, std::function<double()> random)
    : m_first(first), m_longest(longest), m_next(first), m_random(std::move(random))
{
}

Milliseconds Backoff::next()
{
    const Milliseconds half = m_next / 2;
    const auto varied = static_cast<Milliseconds::rep>(static_cast<double>(half.count()) * m_random());
    m_next = std::min(m_next * 2, m_longest);
    return half + Milliseconds(varied);
}

void Backoff::reset()
{
    m_next = m_first;
}

double Backoff::randomFraction()
{
    thread_local std::mt19937 generator {std::random_device {}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

}
