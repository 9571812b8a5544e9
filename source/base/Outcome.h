#pragma once

#include <optional>
#include <string_view>

namespace Wagtail
{

// What is known about whether a request ran.
enum class Outcome {
    // It ran, and its whole answer is at hand.
    Done,
    // It was never handed to an upstream, or the upstream refused it before running.
    NotRun,
    // It was handed over and its result could not be established.
    Unknown,
};

// Returns the stable name of an outcome, as used in headers and problem documents.
[[nodiscard]] std::string_view nameOf(Outcome outcome);

// Returns the outcome with the given stable name, or nothing.
[[nodiscard]] std::optional<Outcome> outcomeFromName(std::string_view name);

}
