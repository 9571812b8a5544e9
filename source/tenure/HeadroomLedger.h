#pragma once

#include "base/Clock.h"
#include "tenure/PartitionChoice.h"

#include <set>
#include <vector>

namespace Wagtail
{

// The headroom of the other partitions as far as this one knows it: the last report of each, without what this
// partition has sent there since, or so shortly before that the report can't show it.
class HeadroomLedger
{
public:
    explicit HeadroomLedger(const Clock &clock);

    // Applies a report of a partition.
    void update(const std::string &partition, const PoolHeadrooms &headrooms);

    // Notes that long-running tasks with the given processor demand, in thousandths of a core, were sent to a
    // partition.
    void reserve(const std::string &partition, const std::string &pool, std::int64_t milliCores);

    // Notes the demand of a job that was redirected to a partition. Its next report shows the job.
    void reserveUntilReport(const std::string &partition, const std::string &pool, std::int64_t milliCores);

    // Notes that a partition has given back tasks of a job.
    void refuse(const std::string &partition, const std::string &pool, const std::string &job);

    // Returns the partitions that get no tasks of the job: they have given back tasks of it, or of others, lately, or
    // their last report is old, so that they may have no owner.
    [[nodiscard]] std::set<std::string> avoided(const std::string &pool, const std::string &job) const;

    // Returns whether a partition has reported lately, so that it probably has an owner.
    [[nodiscard]] bool isCurrent(const std::string &partition) const;

    [[nodiscard]] const PartitionHeadrooms &headrooms() const;

private:
    struct Reservation
    {
        std::string partition;
        std::string pool;
        std::int64_t milliCores = 0;
        Instant sentAt;
    };

    struct Refusal
    {
        std::string partition;
        std::string pool;
        std::string job;
        Instant refusedAt;
    };

    void forgetOld();

    const Clock &m_clock;
    PartitionHeadrooms m_headrooms;
    // When the partitions last reported.
    std::map<std::string, Instant> m_reportedAt;
    std::vector<Reservation> m_reservations;
    std::vector<Refusal> m_refusals;
};

}
