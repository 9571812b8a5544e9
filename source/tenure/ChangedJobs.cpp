#include "tenure/ChangedJobs.h"

#include <algorithm>

namespace Wagtail
{

void ChangedJobs::add(const std::string &job)
{
    m_later.insert(job);
}

void ChangedJobs::erase(const std::string &job)
{
    m_round.erase(job);
    m_later.erase(job);
}

bool ChangedJobs::isEmpty() const
{
    return m_round.empty() && m_later.empty();
}

bool ChangedJobs::beginRound()
{
    if (m_hasRound) {
        return false;
    }
    m_hasRound = true;
    m_round.swap(m_later);
    return true;
}

bool ChangedJobs::hasRound() const
{
    return m_hasRound;
}

bool ChangedJobs::isRoundTaken() const
{
    return m_hasRound && m_round.empty();
}

void ChangedJobs::endRound()
{
    m_hasRound = false;
}

void ChangedJobs::abandonRound()
{
    m_hasRound = false;
    m_later.merge(m_round);
    m_round.clear();
}

std::optional<std::string> ChangedJobs::take(const std::set<std::string> &except)
{
    for (const std::set<std::string> *jobs : {&m_round, &m_later}) {
        const auto next = std::find_if(
            jobs->begin(), jobs->end(), [&except](const std::string &job) { return !except.contains(job); });
        if (next != jobs->end()) {
            std::string job = *next;
            erase(job);
            return job;
        }
    }
    return std::nullopt;
}

}
