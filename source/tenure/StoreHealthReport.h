#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "store/StoreMessages.h"

#include <map>
#include <optional>
#include <string>

namespace Wagtail
{

// The revision of the last known change of each partition's owner key, by partition. An owner whose token is lower has
// lost the partition.
using OwnerRevisions = std::map<std::string, StoreRevision>;

// What an instance tells another one that can't reach the store.
struct StoreHealthReport
{
    // How long ago the store last answered this instance, directly or through another one. Nothing if it never did.
    std::optional<Milliseconds> answerAge;
    OwnerRevisions ownerRevisions;

    bool operator==(const StoreHealthReport &) const = default;
};

[[nodiscard]] std::string serialize(const StoreHealthReport &report);
[[nodiscard]] Result<StoreHealthReport> parseStoreHealthReport(const std::string &text);

}
