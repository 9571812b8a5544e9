#pragma once

#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// Assigns each partition of a data centre, given by its index, to an instance by rendezvous hashing with bounded load.
// The same instances give the same assignment on every instance, no instance gets more than its even share, rounded up,
// and the loss of an instance reassigns few partitions of the others.
[[nodiscard]] std::map<int, std::string> assignPartitions(int partitions, std::vector<std::string> instances);

}
