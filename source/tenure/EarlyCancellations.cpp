#include "tenure/EarlyCancellations.h"

namespace Wagtail
{

EarlyCancellations::EarlyCancellations(const Clock &clock) : m_clock(clock)
{
}

void EarlyCancellations::add(const std::string &job)
{
    m_addedAt[job] = m_clock.now();
}

void EarlyCancellations::remove(const std::string &job)
{
    m_addedAt.erase(job);
}

bool EarlyCancellations::contains(const std::string &job) const
{
    return m_addedAt.contains(job);
}

std::vector<std::string> EarlyCancellations::removeExpired()
{
    const Instant now = m_clock.now();
    std::vector<std::string> expired;
    std::erase_if(m_addedAt, [&expired, now](const auto &entry) {
        const bool isExpired = now - entry.second >= Lifetime;
        if (isExpired) {
            expired.push_back(entry.first);
        }
        return isExpired;
    });
    return expired;
}

}
