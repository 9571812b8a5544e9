#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// How the data centres are grouped into partitions. All instances derive the same plan from the same settings.
class PartitionPlan
{
public:
    // Takes the region of each data centre. Few data centres are one partition, because one owner packs their workers
    // better and leaves none idle while work waits elsewhere. In a larger fleet a region with few data centres is one,
    // and otherwise each data centre, because one owner could not carry them.
    explicit PartitionPlan(const std::map<std::string, std::string> &regions);

    [[nodiscard]] std::vector<std::string> partitions() const;

    // Returns the partition that a data centre belongs to, or an empty name for an unknown one.
    [[nodiscard]] std::string partitionOf(const std::string &dataCentre) const;
    [[nodiscard]] const std::set<std::string> &dataCentres(const std::string &partition) const;

    // Returns how many of a partition's data centres lie in a region.
    [[nodiscard]] int dataCentresInRegion(const std::string &partition, const std::string &region) const;

private:
    std::map<std::string, std::string> m_regions;
    std::map<std::string, std::set<std::string>> m_dataCentres;
    std::map<std::string, std::string> m_partitions;
};

}
