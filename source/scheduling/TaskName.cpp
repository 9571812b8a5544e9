#include "scheduling/TaskName.h"

#include <charconv>

namespace Wagtail
{

namespace
{

// Removes the part after the last dot from the text and returns it as a number. Returns nothing if it is not one.
template<typename Number> std::optional<Number> takeNumber(std::string_view &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view part = text.substr(dot + 1);
    Number number = 0;
    const auto [last, error] = std::from_chars(part.data(), part.data() + part.size(), number);
    if (error != std::errc() || last != part.data() + part.size() || number < 0) {
        return std::nullopt;
    }
    text = text.substr(0, dot);
    return number;
}

}

std::string TaskName::text() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
}

std::optional<TaskName> TaskName::parse(std::string_view text)
{
    const auto index = takeNumber<int>(text);
    const auto step = index ? takeNumber<int>(text) : std::nullopt;
    const auto occurrence = step ? takeNumber<std::int64_t>(text) : std::nullopt;
    if (!occurrence || text.empty()) {
        return std::nullopt;
    }
    return TaskName {std::string(text), *occurrence, *step, *index};
}

}
