#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace Wagtail
{

// The stable names of an enumeration's values, as they stand in messages and documents.
template<typename Value, std::size_t Count> class NameTable
{
public:
    explicit constexpr NameTable(std::array<std::pair<Value, std::string_view>, Count> names) : m_names(names)
    {
    }

    [[nodiscard]] constexpr std::string_view nameOf(Value value) const
    {
        for (const auto &[candidate, name] : m_names) {
            if (candidate == value) {
                return name;
            }
        }
        return "unknown";
    }

    [[nodiscard]] constexpr std::optional<Value> find(std::string_view name) const
    {
        for (const auto &[value, candidate] : m_names) {
            if (candidate == name) {
                return value;
            }
        }
        return std::nullopt;
    }

private:
    std::array<std::pair<Value, std::string_view>, Count> m_names;
};

}
