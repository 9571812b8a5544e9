#include "base/Error.h"

#include "base/NameTable.h"

namespace Wagtail
{

namespace
{

constexpr NameTable<ErrorKind, 14> Names {{{
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
}}};

}

std::string_view nameOf(ErrorKind kind)
{
    return Names.nameOf(kind);
}

ErrorKind errorKindFromName(std::string_view name)
{
    return Names.find(name).value_or(ErrorKind::Internal);
}

}
