#include "tenure/UnsettledSubmissions.h"

namespace Wagtail
{

namespace
{

// A call that got no answer is carried out within this time, or never.
constexpr Milliseconds LongestLateCall {30'000};

}

UnsettledSubmissions::UnsettledSubmissions(const Clock &clock) : m_clock(clock)
{
}

void UnsettledSubmissions::sent(const std::string &job)
{
    ++m_inFlight[job];
}

void UnsettledSubmissions::answered(const std::string &job, Effect effect)
{
    const auto inFlight = m_inFlight.find(job);
    if (inFlight != m_inFlight.end() && --inFlight->second == 0) {
        m_inFlight.erase(inFlight);
    }
    if (effect == Effect::Accepted) {
        m_lostAt.erase(job);
    } else if (effect == Effect::Unknown) {
        const Instant now = m_clock.now();
        m_lostAt[job] = now;
        m_losses.emplace_back(now, job);
    }
    forgetOldLosses();
}

bool UnsettledSubmissions::mayBeAccepted(const std::string &job) const
{
    const auto lost = m_lostAt.find(job);
    return m_inFlight.contains(job) || (lost != m_lostAt.end() && m_clock.now() - lost->second < LongestLateCall);
}

void UnsettledSubmissions::forgetOldLosses()
{
    const Instant now = m_clock.now();
    while (!m_losses.empty() && now - m_losses.front().first >= LongestLateCall) {
        const auto &[at, job] = m_losses.front();
        const auto lost = m_lostAt.find(job);
        if (lost != m_lostAt.end() && lost->second == at) {
            m_lostAt.erase(lost);
        }
        m_losses.pop_front();
    }
}

}
