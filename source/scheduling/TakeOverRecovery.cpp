#include "scheduling/TakeOverRecovery.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// How long after the expiry of earlier leases a new owner waits for live workers that have not answered yet.
constexpr Milliseconds MaximumExtraRecovery {10'000};
// A log line names at most this many workers.
constexpr std::size_t MaximumWorkersInLog = 8;

}

void TakeOverRecovery::begin(Instant now, Instant priorLeasesExpireAt)
{
    m_beganAt = now;
    m_priorLeasesExpireAt = priorLeasesExpireAt;
    m_active = true;
}

Instant TakeOverRecovery::priorLeasesExpireAt() const
{
    return m_priorLeasesExpireAt;
}

void TakeOverRecovery::expect(const std::string &worker, Instant leaseExpiresAt)
{
    m_unconfirmedWorkers.emplace(worker, leaseExpiresAt);
    m_active = true;
}

void TakeOverRecovery::confirm(const std::string &worker)
{
    m_unconfirmedWorkers.erase(worker);
}

bool TakeOverRecovery::isUnconfirmed(const std::string &worker) const
{
    return m_unconfirmedWorkers.contains(worker);
}

Instant TakeOverRecovery::leaseExpiryOf(const std::string &worker) const
{
    const auto found = m_unconfirmedWorkers.find(worker);
    return found == m_unconfirmedWorkers.end() ? Instant() : found->second;
}

bool TakeOverRecovery::mayRunTasks(const WorkerState *worker, Instant leaseExpiresAt, Instant now)
{
    if (now < leaseExpiresAt) {
        return true;
    }
    // An owner that is short of processor time may not yet have processed the reports of live workers, which list runs
    // that ended long ago.
    const bool isAlive = worker != nullptr && worker->listed && !worker->isUnreachable();
    return isAlive && now < leaseExpiresAt + MaximumExtraRecovery;
}

bool TakeOverRecovery::isPending(Instant now, const std::map<std::string, WorkerState> &workers) const
{
    return std::any_of(m_unconfirmedWorkers.begin(), m_unconfirmedWorkers.end(), [&, now](const auto &entry) {
        const auto worker = workers.find(entry.first);
        // The last owner has got no answer from workers whose leases expire sooner than all others.
        const bool wasLostBefore = entry.second < m_priorLeasesExpireAt;
        const bool mayBeAlive = worker != workers.end() && !wasLostBefore;
        return mayRunTasks(mayBeAlive ? &worker->second : nullptr, entry.second, now);
    });
}

bool TakeOverRecovery::isActive() const
{
    return m_active;
}

void TakeOverRecovery::end()
{
    m_unconfirmedWorkers.clear();
    m_active = false;
}

Json TakeOverRecovery::describe(Instant now, const std::map<std::string, WorkerState> &workers) const
{
    const auto milliseconds = [](Instant from, Instant to) {
        return std::chrono::duration_cast<Milliseconds>(to - from).count();
    };
    Json names = Json::array();
    std::size_t listed = 0;
    Instant lastExpiry = now;
    for (const auto &[name, leaseExpiresAt] : m_unconfirmedWorkers) {
        lastExpiry = std::max(lastExpiry, leaseExpiresAt);
        const auto worker = workers.find(name);
        listed += worker != workers.end() && worker->second.listed ? 1 : 0;
        if (names.size() < MaximumWorkersInLog) {
            names.push_back(name);
        }
    }
    return {{"age_ms", milliseconds(m_beganAt, now)}, {"leases_expire_ms", milliseconds(now, lastExpiry)},
        {"unconfirmed", m_unconfirmedWorkers.size()}, {"unconfirmed_listed", listed}, {"workers", std::move(names)}};
}

}
