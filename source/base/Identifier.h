#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Wagtail
{

// Returns a new UUID version 7 in its text form; the leading digits carry the wall time in milliseconds.
[[nodiscard]] std::string createIdentifier(std::int64_t wallMilliseconds);

// Returns a well-mixed 64-bit hash that is the same in every process and on every machine.
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

}
