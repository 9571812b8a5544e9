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

void TakeOverRecovery::expect(const std::string &worker)
{
    m_unconfirmedWorkers.insert(worker);
}

void TakeOverRecovery::confirm(const std::string &worker)
{
    m_unconfirmedWorkers.erase(worker);
}

bool TakeOverRecovery::isUnconfirmed(const std::string &worker) const
{
    return m_unconfirmedWorkers.contains(worker);
}

bool TakeOverRecovery::isPending(Instant now, const std::map<std::string, WorkerState> &workers) const
{
    if (m_unconfirmedWorkers.empty() || now < m_priorLeasesExpireAt) {
        return !m_unconfirmedWorkers.empty();
    }
    // An owner that is short of processor time may not yet have processed the reports of live workers, which list runs
    // that ended long ago.
    return now < m_priorLeasesExpireAt + MaximumExtraRecovery
        && std::any_of(m_unconfirmedWorkers.begin(), m_unconfirmedWorkers.end(), [&workers](const std::string &name) {
               const auto worker = workers.find(name);
               return worker != workers.end() && worker->second.listed && !worker->second.isUnreachable();
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
    for (const std::string &name : m_unconfirmedWorkers) {
        const auto worker = workers.find(name);
        listed += worker != workers.end() && worker->second.listed ? 1 : 0;
        if (names.size() < MaximumWorkersInLog) {
            names.push_back(name);
        }
    }
    return {{"age_ms", milliseconds(m_beganAt, now)}, {"leases_expire_ms", milliseconds(now, m_priorLeasesExpireAt)},
        {"unconfirmed", m_unconfirmedWorkers.size()}, {"unconfirmed_listed", listed}, {"workers", std::move(names)}};
}

}
