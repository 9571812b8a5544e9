#include "WorkerRegistration.h"

#include <restinio/utils/base64.hpp>

namespace Wagtail
{

namespace
{

constexpr Milliseconds HeartbeatPeriod {1'100};
// A worker that is silent for three heartbeats loses its entry.
constexpr Milliseconds EntryDuration = 3 * HeartbeatPeriod;
constexpr Milliseconds LongestReturn {2'000};

}

WorkerRegistration::WorkerRegistration(
    const Clock &clock, StandinStore &store, PlatformWorker &worker, std::uint64_t seed)
    : m_clock(clock), m_store(store), m_worker(worker), m_random(seed), m_nextHeartbeat(clock.now())
{
}

void WorkerRegistration::advance()
{
    const Instant now = m_clock.now();
    if (!m_worker.isUp()) {
        if (m_worker.hasLeft()) {
            m_store.revokeLease(std::exchange(m_lease, 0));
        }
        return;
    }
    const std::string key = "servers/" + m_worker.name();
    const bool expired = m_lease != 0 && !m_store.read(key);
    if (expired && !m_returnsAt) {
        const auto delay = std::uniform_int_distribution<std::int64_t>(0, LongestReturn.count())(m_random);
        m_returnsAt = now + Milliseconds(delay);
    }
    if (m_returnsAt ? now < *m_returnsAt : now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + HeartbeatPeriod;
    std::string value = restinio::utils::base64::encode(writeJson(m_worker.entry()));
    if (expired || m_lease == 0 || value != m_written) {
        write(key, std::move(value));
        return;
    }
    (void)m_store.renewLease(m_lease);
}

void WorkerRegistration::write(const std::string &key, std::string value)
{
    m_returnsAt.reset();
    m_lease = m_store.grantLease(EntryDuration);
    m_written = value;
    (void)m_store.write({key, std::move(value), std::nullopt, m_lease});
    if (m_worker.isDraining()) {
        m_worker.notifyDrainingPublished();
    }
}

}
