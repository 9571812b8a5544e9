#pragma once

#include "scheduling/PoolHeadroom.h"
#include "tenure/JobRecord.h"

namespace Wagtail
{

// The rooms of all partitions that are known, by the name of the partition.
using PartitionRooms = std::map<std::string, PoolHeadrooms>;

// Where a new job goes.
struct PartitionChoice
{
    enum class Kind {
        // The named partition takes it.
        Take,
        // No partition has workers that could ever hold it.
        NeverFits,
        // Its lasting tasks would take the room that passing work needs.
        Crowded,
    };

    Kind kind = Kind::Take;
    std::string partition;

    bool operator==(const PartitionChoice &) const = default;
};

// Chooses among the home partition and the others that are known.
// Load pattern: lasting jobs that arrive unevenly and stay; without a choice they take all workers of one partition,
// where passing work then waits, while another has room.
[[nodiscard]] PartitionChoice choosePartition(
    const JobRecord &job, const std::string &home, const PartitionRooms &rooms);

// A partition that can take some lasting tasks.
struct DelegationChoice
{
    std::string partition;
    int count = 0;

    bool operator==(const DelegationChoice &) const = default;
};

// Chooses where waiting lasting tasks of a step go that find no worker at home.
// Load pattern: many workers of one partition lost at once, while others have room for what ran there.
[[nodiscard]] std::optional<DelegationChoice> chooseDelegate(const StepSpecification &step, const std::string &pool,
    int waiting, const std::string &home, const PartitionRooms &rooms);

// Returns the processors that the lasting tasks of a job take up, in thousandths of a core.
[[nodiscard]] std::int64_t lastingDemand(const JobSpecification &job);

}
