#include "base/Error.h"

#include <array>
#include <utility>

namespace Wagtail
{

namespace
{

constexpr std::array<std::pair<ErrorKind, std::string_view>, 14> Names {{
    {ErrorKind::InvalidInput, "invalid-input"},
    {ErrorKind::NotFound, "not-found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Overloaded, "overloaded"},
    {ErrorKind::NoRoom, "no-room"},
    {ErrorKind::DeadlineExceeded, "deadline-exceeded"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::StoreUnavailable, "store-unavailable"},
    {ErrorKind::NotOwner, "not-owner"},
    {ErrorKind::StaleToken, "stale-token"},
    {ErrorKind::UnsupportedProtocol, "unsupported-protocol"},
    {ErrorKind::TooLarge, "too-large"},
    {ErrorKind::Impossible, "impossible"},
    {ErrorKind::Internal, "internal"},
}};

}

std::string_view nameOf(ErrorKind kind)
{
    for (const auto &[candidate, name] : Names) {
        if (candidate == kind) {
            return name;
        }
    }
    return "internal";
}

ErrorKind errorKindFromName(std::string_view name)
{
    for (const auto &[kind, candidate] : Names) {
        if (candidate == name) {
            return kind;
        }
    }
    return ErrorKind::Internal;
}

}
