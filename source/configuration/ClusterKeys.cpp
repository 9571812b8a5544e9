#include "configuration/ClusterKeys.h"

#include <array>
#include <cstdio>

namespace Wagtail::ClusterKeys
{

std::string owner(const PartitionIdentity &partition)
{
    return Partitions + partition.text();
}

std::string logPrefix(const PartitionIdentity &partition)
{
    return "wagtail/log/" + partition.text() + "/";
}

std::string logSlot(const PartitionIdentity &partition, std::uint64_t slot)
{
    constexpr std::size_t DigitCount = 4;
    std::array<char, DigitCount + 20> digits {};
    std::snprintf(digits.data(), digits.size(), "%04llu", static_cast<unsigned long long>(slot));
    return logPrefix(partition) + digits.data();
}

std::string snapshot(const PartitionIdentity &partition)
{
    return "wagtail/snapshot/" + partition.text();
}

}
