#include "scheduling/ObsoleteRuns.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Delay before an unanswered stop is sent again, a few round trips between regions.
constexpr Milliseconds StopRetryDelay {250};

}

void ObsoleteRuns::add(const RunName &run, Instant lastStart)
{
    Stop &stop = m_stops[run];
    stop.lastStart = std::max(stop.lastStart, lastStart);
}

bool ObsoleteRuns::addListed(const RunName &run)
{
    const auto [entry, added] = m_stops.try_emplace(run);
    entry->second.wasListed = true;
    return added;
}

void ObsoleteRuns::stopSent(const RunName &run, Instant now)
{
    const auto found = m_stops.find(run);
    if (found != m_stops.end()) {
        found->second.sentAt = now;
        found->second.isPending = true;
    }
}

void ObsoleteRuns::stopAnswered(const RunName &run, OrderOutcome outcome, Instant sentAt, Instant now)
{
    const auto found = m_stops.find(run);
    if (found == m_stops.end() || found->second.sentAt != sentAt) {
        return;
    }
    Stop &stop = found->second;
    stop.isPending = false;
    const bool isAccepted = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Superseded;
    if (isAccepted && !stop.acceptedAt) {
        stop.acceptedAt = now;
    }
}

void ObsoleteRuns::ended(const RunName &run)
{
    m_stops.erase(run);
}

void ObsoleteRuns::applyReport(const std::set<RunName> &listed, Instant requestedAt)
{
    std::erase_if(m_stops,
        [&](const auto &entry) { return !listed.contains(entry.first) && isSettled(entry.second, requestedAt); });
}

void ObsoleteRuns::restart(std::optional<Instant> lastStart)
{
    if (!lastStart) {
        m_stops.clear();
        return;
    }
    for (auto &[run, stop] : m_stops) {
        stop = Stop();
        stop.lastStart = *lastStart;
    }
}

std::vector<RunName> ObsoleteRuns::runs() const
{
    std::vector<RunName> names;
    names.reserve(m_stops.size());
    for (const auto &[run, stop] : m_stops) {
        names.push_back(run);
    }
    return names;
}

std::vector<RunName> ObsoleteRuns::dueStops(Instant now) const
{
    std::vector<RunName> due;
    for (const auto &[run, stop] : m_stops) {
        const bool wasSentLately = stop.sentAt && now - *stop.sentAt < StopRetryDelay;
        if (!stop.isPending && !stop.acceptedAt && !wasSentLately) {
            due.push_back(run);
        }
    }
    return due;
}

bool ObsoleteRuns::isEmpty() const
{
    return m_stops.empty();
}

bool ObsoleteRuns::isSettled(const Stop &stop, Instant requestedAt)
{
    const bool isStopped = stop.acceptedAt && *stop.acceptedAt <= requestedAt;
    return stop.wasListed || isStopped || stop.lastStart < requestedAt;
}

}
