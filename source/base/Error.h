#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <variant>

namespace Wagtail
{

// The kinds of failure that a caller can tell apart and react to.
enum class ErrorKind {
    InvalidInput,
    NotFound,
    Conflict,
    Overloaded,
    // No worker has room at the moment.
    NoRoom,
    DeadlineExceeded,
    Unavailable,
    StoreUnavailable,
    NotOwner,
    StaleToken,
    UnsupportedProtocol,
    TooLarge,
    Impossible,
    Internal,
};

// A failure with its kind, what happened, and what the reader can do about it.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    std::string remedy;

    auto operator<=>(const Error &) const = default;
};

// Either a value or the error that prevented it.
template<typename Value> using Result = std::variant<Value, Error>;

// The result of an operation that yields nothing but success.
using Status = Result<std::monostate>;

// Returns the error inside a result, or null when it holds a value.
template<typename Value> [[nodiscard]] const Error *errorOf(const Result<Value> &result)
{
    return std::get_if<Error>(&result);
}

// Returns the stable lower-case name of an error kind, used in logs and problem documents.
[[nodiscard]] std::string_view nameOf(ErrorKind kind);

// Returns the error kind with the given stable name; Internal when there is none.
[[nodiscard]] ErrorKind errorKindFromName(std::string_view name);

}
