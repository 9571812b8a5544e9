#pragma once

#include "base/Resources.h"

#include <optional>
#include <string>

namespace Wagtail
{

// What each team may hold over all partitions, and what it holds in others as far as is known.
class TeamQuotas
{
public:
    TeamQuotas() = default;
    TeamQuotas(const TeamQuotas &) = delete;
    TeamQuotas &operator=(const TeamQuotas &) = delete;
    virtual ~TeamQuotas() = default;

    // Returns the team's quota, or nothing when it has none.
    [[nodiscard]] virtual std::optional<Resources> quota(const std::string &team) const = 0;

    // Returns what the team's tasks hold outside the partition, as last heard.
    [[nodiscard]] virtual Resources usedElsewhere(const std::string &team, const std::string &partition) const = 0;
};

}
