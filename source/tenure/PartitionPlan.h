#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// The grouping of data centres into partitions. All instances derive the same plan from the same settings.
class PartitionPlan
{
public:
    // Takes the region of each data centre. A small fleet is a single partition, because one owner packs its workers
    // better and leaves none idle while work waits in another partition. In a larger fleet, which is too large for one
    // owner, a region with few data centres is a partition, and in other regions each data centre is one.
    explicit PartitionPlan(const std::map<std::string, std::string> &regions);

    [[nodiscard]] std::vector<std::string> partitions() const;

    // Returns the partition of a data centre, or an empty name if the data centre is unknown.
    [[nodiscard]] std::string partitionOf(const std::string &dataCentre) const;
    [[nodiscard]] const std::set<std::string> &dataCentres(const std::string &partition) const;

    // Returns how many of a partition's data centres are in a region.
    [[nodiscard]] int dataCentresInRegion(const std::string &partition, const std::string &region) const;

private:
    std::map<std::string, std::string> m_regions;
    std::map<std::string, std::set<std::string>> m_dataCentres;
    std::map<std::string, std::string> m_partitions;
};

}
