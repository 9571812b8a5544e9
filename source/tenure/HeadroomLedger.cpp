#include "tenure/HeadroomLedger.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A report that arrives sooner than this after tasks were sent may have been made before they arrived. They pass
// through two calls of the store and a watch.
constexpr Milliseconds ArrivalTime {1'000};
// A partition that has found no worker for tasks of a job gets none of them for this long, which bounds how often a
// task goes back and forth.
constexpr Milliseconds RefusalTime {3'000};
// It gets no tasks of other jobs either until reports that show why.
constexpr Milliseconds FullTime {1'000};
// A partition that reports no more may have no owner, and what is sent there waits for the next one. Reports are asked
// for each second.
constexpr Milliseconds LongestReportAge {1'500};

}

HeadroomLedger::HeadroomLedger(const Clock &clock) : m_clock(clock)
{
}

void HeadroomLedger::update(const std::string &partition, const PoolHeadrooms &headrooms)
{
    forgetOld();
    m_headrooms[partition] = headrooms;
    m_reportedAt[partition] = m_clock.now();
    for (const Reservation &reservation : m_reservations) {
        if (reservation.partition == partition) {
            m_headrooms[partition][reservation.pool].reserveForLongRunning(reservation.milliCores);
        }
    }
}

void HeadroomLedger::reserve(const std::string &partition, const std::string &pool, std::int64_t milliCores)
{
    m_reservations.push_back({partition, pool, milliCores, m_clock.now()});
    m_headrooms[partition][pool].reserveForLongRunning(milliCores);
}

void HeadroomLedger::reserveUntilReport(const std::string &partition, const std::string &pool, std::int64_t milliCores)
{
    m_headrooms[partition][pool].reserveForLongRunning(milliCores);
}

void HeadroomLedger::refuse(const std::string &partition, const std::string &pool, const std::string &job)
{
    m_refusals.push_back({partition, pool, job, m_clock.now()});
}

std::set<std::string> HeadroomLedger::avoided(const std::string &pool, const std::string &job) const
{
    const Instant now = m_clock.now();
    std::set<std::string> partitions;
    for (const Refusal &refusal : m_refusals) {
        const Milliseconds limit = refusal.job == job ? RefusalTime : FullTime;
        if (refusal.pool == pool && now - refusal.refusedAt < limit) {
            partitions.insert(refusal.partition);
        }
    }
    for (const auto &[partition, reportedAt] : m_reportedAt) {
        if (now - reportedAt > LongestReportAge) {
            partitions.insert(partition);
        }
    }
    return partitions;
}

bool HeadroomLedger::isCurrent(const std::string &partition) const
{
    const auto reportedAt = m_reportedAt.find(partition);
    return reportedAt != m_reportedAt.end() && m_clock.now() - reportedAt->second <= LongestReportAge;
}

const PartitionHeadrooms &HeadroomLedger::headrooms() const
{
    return m_headrooms;
}

void HeadroomLedger::forgetOld()
{
    const Instant now = m_clock.now();
    std::erase_if(
        m_reservations, [now](const Reservation &reservation) { return now - reservation.sentAt >= ArrivalTime; });
    std::erase_if(m_refusals, [now](const Refusal &refusal) { return now - refusal.refusedAt >= RefusalTime; });
}

}
