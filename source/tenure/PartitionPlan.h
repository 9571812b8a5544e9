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
    // Takes the region of each data centre. A region with few data centres is one partition, because one owner packs
    // its workers better; in a larger one each data centre is a partition, because one owner could not carry it.
    explicit PartitionPlan(const std::map<std::string, std::string> &regions);

    [[nodiscard]] std::vector<std::string> partitions() const;

    // Returns the partition that a data centre belongs to, or an empty name for an unknown one.
    [[nodiscard]] std::string partitionOf(const std::string &dataCentre) const;
    [[nodiscard]] const std::set<std::string> &dataCentres(const std::string &partition) const;

private:
    std::map<std::string, std::set<std::string>> m_dataCentres;
    std::map<std::string, std::string> m_partitions;
};

}
