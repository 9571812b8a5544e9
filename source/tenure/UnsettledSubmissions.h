#pragma once

#include "base/Clock.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace Wagtail
{

// Knows the jobs whose submission this instance has sent and which may still be accepted, whichever caller or copy of a
// request asked for it. No other copy may be told meanwhile that nothing was done.
class UnsettledSubmissions
{
public:
    explicit UnsettledSubmissions(const Clock &clock);

    void sent(const std::string &job);

    // What the answer to a submission, or its absence, tells about that sending of it.
    enum class Effect {
        None,
        Accepted,
        // There was no answer. The submission may be carried out seconds later.
        Unknown,
    };
    void answered(const std::string &job, Effect effect);

    [[nodiscard]] bool mayBeAccepted(const std::string &job) const;

private:
    void forgetOldLosses();

    const Clock &m_clock;
    std::unordered_map<std::string, int> m_inFlight;
    // When the last unanswered submission of a job was given up, and the same in the order of time.
    std::unordered_map<std::string, Instant> m_lostAt;
    std::deque<std::pair<Instant, std::string>> m_losses;
};

}
