#include "ownership/PartitionAssignment.h"

#include "base/Identifier.h"

#include <algorithm>

namespace Wagtail
{

std::map<int, std::string> assignPartitions(int partitions, std::vector<std::string> instances)
{
    std::map<int, std::string> assignment;
    if (instances.empty()) {
        return assignment;
    }
    std::sort(instances.begin(), instances.end());
    const std::size_t count = instances.size();
    const std::size_t share = (static_cast<std::size_t>(partitions) + count - 1) / count;
    std::map<std::string, std::size_t> load;
    for (int partition = 0; partition < partitions; ++partition) {
        const std::string suffix = "/" + std::to_string(partition);
        const std::string *best = nullptr;
        std::uint64_t bestWeight = 0;
        for (const std::string &instance : instances) {
            const std::uint64_t weight = stableHash(instance + suffix);
            if (load[instance] < share && (best == nullptr || weight > bestWeight)) {
                best = &instance;
                bestWeight = weight;
            }
        }
        ++load[*best];
        assignment[partition] = *best;
    }
    return assignment;
}

}
