#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>

namespace Wagtail
{

// What an instance tells the others about itself in the store.
struct InstanceCard
{
    std::string name;
    // Where the other instances call it, as ip:port.
    std::string address;
    std::string dataCentre;
    std::string region;
    // Differs for each process of the same name.
    std::string incarnation;
    // Thousandths of a core that the process may use.
    std::int64_t milliCores = 0;

    bool operator==(const InstanceCard &) const = default;
};

[[nodiscard]] std::string serialize(const InstanceCard &card);
[[nodiscard]] Result<InstanceCard> parseInstanceCard(const std::string &text);

// The content of a partition's owner key.
struct OwnerCard
{
    InstanceCard instance;
    std::uint64_t tenure = 0;

    bool operator==(const OwnerCard &) const = default;
};

[[nodiscard]] std::string serialize(const OwnerCard &card);
[[nodiscard]] Result<OwnerCard> parseOwnerCard(const std::string &text);

}
