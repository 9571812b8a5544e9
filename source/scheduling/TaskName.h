#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Wagtail
{

// The highest run number that is read from a message or a record. Higher ones leave no room for the runs that follow.
inline constexpr std::uint64_t MaximumRunNumber = std::uint64_t {1} << 53U;

// Identifies one task of a job by its occurrence (0 unless the job repeats), its step and its index in the step.
struct TaskName
{
    std::string job;
    std::int64_t occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskName &) const = default;

    // Returns the form "job.occurrence.step.index".
    [[nodiscard]] std::string text() const;

    // Parses the form that text() returns. Returns nothing if the text does not have it.
    [[nodiscard]] static std::optional<TaskName> parse(std::string_view text);
};

}
