#pragma once

#include "tenure/InstanceEntry.h"

#include <string>
#include <vector>

namespace Wagtail
{

// Returns the addresses of the instances in the order in which they should relay calls to the store: slow ones last,
// and those of the given region first among the others.
[[nodiscard]] std::vector<std::string> relayOrder(const std::string &region, std::vector<InstanceEntry> instances);

}
