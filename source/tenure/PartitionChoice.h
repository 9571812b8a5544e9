#pragma once

#include "scheduling/PoolHeadroom.h"
#include "tenure/JobRecord.h"

namespace Wagtail
{

// The headroom of the known partitions, by the name of the partition.
using PartitionHeadrooms = std::map<std::string, PoolHeadrooms>;

// The result of choosing a partition for a new job.
struct PartitionChoice
{
    enum class Kind {
        // The named partition should accept the job.
        Accept,
        // No partition has workers that could ever run the job.
        NeverFits,
        // The job's long-running tasks would take the headroom that batch work needs.
        LeavesTooLittleForBatch,
    };

    Kind kind = Kind::Accept;
    std::string partition;

    bool operator==(const PartitionChoice &) const = default;
};

// Returns whether the workers of a pool could run all tasks of a step, or all at the same time if it is a gang.
[[nodiscard]] bool couldHold(const PoolHeadroom &headroom, const StepSpecification &step);

// Chooses the partition for a new job among the home partition and the other known ones. Long-running jobs that arrive
// unevenly would otherwise fill the workers of one partition, so that batch work waits there while another partition
// has headroom.
[[nodiscard]] PartitionChoice choosePartition(
    const JobRecord &job, const std::string &home, const PartitionHeadrooms &headrooms);

// A partition that can run long-running tasks of another one, and how many of them.
struct DelegationChoice
{
    std::string partition;
    int count = 0;

    bool operator==(const DelegationChoice &) const = default;
};

// The waiting long-running tasks of a step that find no worker in their partition.
struct DelegationQuery
{
    const StepSpecification &step;
    std::string pool;
    int waiting = 0;
    // The partition that they leave.
    std::string home;
    // Partitions that must not be chosen.
    std::set<std::string> avoided = {};
    // Owners that choose at the same time need different ones.
    std::uint64_t seed = 0;
};

// Chooses partitions for waiting long-running tasks that find no worker in their home partition, as happens when a
// partition loses many workers at once while others have headroom. The tasks are spread over the partitions by their
// room, so that owners that choose at the same time don't all fill the same one. Tasks for which no partition has room
// stay.
[[nodiscard]] std::vector<DelegationChoice> chooseDelegates(
    const DelegationQuery &query, const PartitionHeadrooms &headrooms);

// Returns the processor demand of a job's long-running tasks, in thousandths of a core. Backfilling tasks count as 0.
[[nodiscard]] std::int64_t longRunningDemand(const JobSpecification &job);

}
