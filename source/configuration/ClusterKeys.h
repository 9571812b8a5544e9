#pragma once

#include "base/PartitionIdentity.h"

#include <cstdint>
#include <string>

namespace Wagtail
{

// The keys of wagtailbank in the platform's store.
namespace ClusterKeys
{

inline const std::string Root = "wagtail/cluster/";
inline const std::string Layout = "wagtail/cluster/layout";
inline const std::string Profiles = "wagtail/cluster/configuration/profiles/";
inline const std::string Teams = "wagtail/cluster/configuration/teams/";
inline const std::string Workers = "wagtail/cluster/configuration/workers/";
inline const std::string Instances = "wagtail/cluster/instances/";
inline const std::string Partitions = "wagtail/cluster/partitions/";

// Returns the key whose lease makes an instance the owner of a partition.
[[nodiscard]] std::string owner(const PartitionIdentity &partition);

// Return the prefix of a partition's log and the key of one slot in it.
[[nodiscard]] std::string logPrefix(const PartitionIdentity &partition);
[[nodiscard]] std::string logSlot(const PartitionIdentity &partition, std::uint64_t slot);

[[nodiscard]] std::string snapshot(const PartitionIdentity &partition);

}

}
