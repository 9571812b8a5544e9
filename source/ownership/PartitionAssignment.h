#pragma once

#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// Says which instance should own each partition of a data centre, by its index. Every instance that sees the same
// instances comes to the same assignment; no instance gets more than its even share, rounded up; and the loss of an
// instance moves few partitions of the others (rendezvous hashing with a bound on the load).
[[nodiscard]] std::map<int, std::string> assignPartitions(int partitions, std::vector<std::string> instances);

}
