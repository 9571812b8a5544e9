#pragma once

#include "base/Error.h"

#include <cmath>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace Wagtail
{

using Json = nlohmann::json;

// The most levels of arrays and objects inside each other that a document may have. Documents are copied and written
// recursively, so deeper ones could overflow the stack.
inline constexpr std::size_t MaximumJsonDepth = 64;

// Returns the parsed document, or InvalidInput that names what is being parsed and where it breaks or that it nests
// deeper than MaximumJsonDepth.
[[nodiscard]] Result<Json> parseJson(std::string_view text, std::string_view subject);

template<typename Type>
concept JsonNumber = (std::integral<Type> && !std::same_as<Type, bool>) || std::floating_point<Type>;

template<typename Type>
concept JsonNumberList = requires(Type list)
{
    list.insert(list.end(), *list.begin());
}
&&JsonNumber<typename Type::value_type> && !std::same_as<Type, std::string>;

// Returns the number, or nothing if the value is no number or the type can't hold it. Fractions are cut off for whole
// numbers.
template<JsonNumber Number> [[nodiscard]] std::optional<Number> numberOf(const Json &value)
{
    if (!value.is_number()) {
        return std::nullopt;
    }
    if constexpr (std::floating_point<Number>) {
        return value.template get<Number>();
    } else if (value.is_number_unsigned()) {
        const auto number = value.template get<std::uint64_t>();
        return std::in_range<Number>(number) ? std::optional(static_cast<Number>(number)) : std::nullopt;
    } else if (value.is_number_integer()) {
        const auto number = value.template get<std::int64_t>();
        return std::in_range<Number>(number) ? std::optional(static_cast<Number>(number)) : std::nullopt;
    } else {
        const double number = std::trunc(value.template get<double>());
        // The bound above the largest number is a power of two, which a double holds exactly.
        const double bound = std::ldexp(1.0, std::numeric_limits<Number>::digits);
        const bool fits = number >= static_cast<double>(std::numeric_limits<Number>::min()) && number < bound;
        return fits ? std::optional(static_cast<Number>(number)) : std::nullopt;
    }
}

// Returns the numbers of an array, or nothing if the value is no array or an element is no number of the type.
template<JsonNumberList List> [[nodiscard]] std::optional<List> numbersOf(const Json &value)
{
    if (!value.is_array()) {
        return std::nullopt;
    }
    List numbers;
    for (const Json &item : value) {
        const auto number = numberOf<typename List::value_type>(item);
        if (!number) {
            return std::nullopt;
        }
        numbers.insert(numbers.end(), *number);
    }
    return numbers;
}

// Returns the named member, or the fallback when it is missing, of another type or a number that the type can't hold.
template<typename Value> [[nodiscard]] Value memberOr(const Json &object, const char *name, Value fallback)
{
    if (!object.is_object()) {
        return fallback;
    }
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
    }
    if constexpr (JsonNumber<Value>) {
        return numberOf<Value>(*found).value_or(fallback);
    } else if constexpr (JsonNumberList<Value>) {
        return numbersOf<Value>(*found).value_or(std::move(fallback));
    }
    try {
        return found->template get<Value>();
    } catch (const Json::exception &) {
        return fallback;
    }
}

// Returns the document as text; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string writeJson(const Json &document);

}
