#pragma once

#include "tenure/InstanceEntry.h"

#include <string>
#include <vector>

namespace Wagtail
{

// Returns the addresses of the instances from which this one reads entries that all instances need, the preferred one
// first. They are the strongest ones of the region, slow ones last. The result is empty if this instance is one of
// them, because these read from the store, or if it is the only one of its region. Load pattern: a large entry that
// every instance needs at once, beside calls to the store that must not wait for it.
[[nodiscard]] std::vector<std::string> regionalSources(
    const InstanceEntry &self, const std::vector<InstanceEntry> &others);

}
