#include "tenure/PartitionPlan.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A region with at most this many data centres is one partition: one owner can handle all their workers.
constexpr std::size_t MaxDataCentresPerPartition = 2;
// A fleet with at most this many data centres is one partition: some seventy workers cost the owner a fifth of a core.
constexpr std::size_t MaxDataCentresInSmallFleet = 3;
const std::string FleetPartition = "fleet";

}

PartitionPlan::PartitionPlan(const std::map<std::string, std::string> &regions) : m_regions(regions)
{
    std::map<std::string, std::set<std::string>> byRegion;
    for (const auto &[dataCentre, region] : regions) {
        byRegion[region].insert(dataCentre);
    }
    const bool isSmallFleet = regions.size() <= MaxDataCentresInSmallFleet;
    for (const auto &[region, dataCentres] : byRegion) {
        const bool sharesPartition = dataCentres.size() <= MaxDataCentresPerPartition;
        for (const std::string &dataCentre : dataCentres) {
            const std::string partition = isSmallFleet ? FleetPartition : sharesPartition ? region : dataCentre;
            m_dataCentres[partition].insert(dataCentre);
            m_partitions[dataCentre] = partition;
        }
    }
}

std::vector<std::string> PartitionPlan::partitions() const
{
    std::vector<std::string> names;
    for (const auto &[partition, dataCentres] : m_dataCentres) {
        names.push_back(partition);
    }
    return names;
}

std::string PartitionPlan::partitionOf(const std::string &dataCentre) const
{
    const auto found = m_partitions.find(dataCentre);
    return found == m_partitions.end() ? std::string() : found->second;
}

const std::set<std::string> &PartitionPlan::dataCentres(const std::string &partition) const
{
    static const std::set<std::string> none;
    const auto found = m_dataCentres.find(partition);
    return found == m_dataCentres.end() ? none : found->second;
}

int PartitionPlan::dataCentresInRegion(const std::string &partition, const std::string &region) const
{
    const std::set<std::string> &inside = dataCentres(partition);
    return static_cast<int>(std::count_if(inside.begin(), inside.end(),
        [this, &region](const std::string &dataCentre) { return m_regions.at(dataCentre) == region; }));
}

}
