#pragma once

#include <charconv>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace Wagtail
{

// Names one partition of a data centre: a group of its workers together with a shard of its tasks and keys.
struct PartitionIdentity
{
    std::string dataCentre;
    int index = 0;

    auto operator<=>(const PartitionIdentity &) const = default;

    // Returns the form "data-centre.index".
    [[nodiscard]] std::string text() const
    {
        return dataCentre + "." + std::to_string(index);
    }

    // Parses the form that text() returns.
    [[nodiscard]] static std::optional<PartitionIdentity> parse(std::string_view text)
    {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos || dot == 0) {
            return std::nullopt;
        }
        int index = 0;
        const char *end = text.data() + text.size();
        const auto [last, error] = std::from_chars(text.data() + dot + 1, end, index);
        if (error != std::errc() || last != end || index < 0) {
            return std::nullopt;
        }
        return PartitionIdentity {std::string(text.substr(0, dot)), index};
    }
};

}
