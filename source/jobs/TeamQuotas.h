#pragma once

#include "base/Resources.h"

#include <optional>
#include <string>

namespace Wagtail
{

// Provides the quotas of teams over all partitions and the teams' known usage outside a partition.
class TeamQuotas
{
public:
    TeamQuotas() = default;
    TeamQuotas(const TeamQuotas &) = delete;
    TeamQuotas &operator=(const TeamQuotas &) = delete;
    virtual ~TeamQuotas() = default;

    // Returns the team's quota, or nothing when it has none.
    [[nodiscard]] virtual std::optional<Resources> quota(const std::string &team) const = 0;

    // Returns the resources that the team's tasks use outside the partition, as last reported by gossip.
    [[nodiscard]] virtual Resources usedElsewhere(const std::string &team, const std::string &partition) const = 0;
};

}
