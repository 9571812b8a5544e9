#pragma once

#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// How an instance describes itself in the store.
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

// Reads a record; its members stay empty where the text can't be read.
[[nodiscard]] InstanceRecord parseInstanceRecord(const std::string &text);

}
