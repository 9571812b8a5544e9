#pragma once

#include "base/Error.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Wagtail
{

using Json = nlohmann::json;

// The most levels of arrays and objects inside each other that a document may have. Documents are copied and written
// recursively, so deeper ones could overflow the stack.
inline constexpr std::size_t MaximumJsonDepth = 64;

// Returns the parsed document, or InvalidInput that names what is being parsed and where it breaks or that it nests
// deeper than MaximumJsonDepth.
[[nodiscard]] Result<Json> parseJson(std::string_view text, std::string_view subject);

// Returns the named member, or the fallback when it is missing or of another type.
template<typename Value> [[nodiscard]] Value memberOr(const Json &object, const char *name, Value fallback)
{
    if (!object.is_object()) {
        return fallback;
    }
    const auto found = object.find(name);
    if (found == object.end()) {
        return fallback;
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
