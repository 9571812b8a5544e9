#pragma once

#include <string_view>

namespace Wagtail
{

// What a leader term of this instance follows.
enum class TermSuccession {
    // A partition without an owner that this process has not owned before.
    Vacancy,
    // A partition without an owner that this process has owned before, perhaps with other owners in between.
    OwnTerm,
    // The term of an earlier process of this instance, whose entry was still there.
    FormerProcess,
};

// Returns the stable name of the value for logs.
[[nodiscard]] std::string_view nameOf(TermSuccession succession);

}
