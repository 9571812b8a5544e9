#pragma once

#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// An instance's description of itself in the store.
struct InstanceRecord
{
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::string peerAddress;
    std::string httpAddress;
    bool leaving = false;

    auto operator<=>(const InstanceRecord &) const = default;
};

[[nodiscard]] Json describe(const InstanceRecord &record);

// Parses a record. Members that are missing or invalid stay empty.
[[nodiscard]] InstanceRecord parseInstanceRecord(const std::string &text);

}
