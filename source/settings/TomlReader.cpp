#include "settings/TomlReader.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

namespace Wagtail
{

namespace
{

// Each dot may nest one table deeper. The library destroys tables recursively, which a stack bears for several times
// this many levels.
constexpr std::ptrdiff_t MaximumDots = 10'000;

// Returns whether the node has more levels of tables and arrays than the given number.
bool nestsDeeperThan(const toml::node &node, std::size_t levels)
{
    if (!node.is_table() && !node.is_array()) {
        return false;
    }
    if (levels == 0) {
        return true;
    }
    if (const toml::table *table = node.as_table()) {
        return std::any_of(table->begin(), table->end(),
            [levels](const auto &member) { return nestsDeeperThan(member.second, levels - 1); });
    }
    const toml::array &array = *node.as_array();
    return std::any_of(
        array.begin(), array.end(), [levels](const toml::node &item) { return nestsDeeperThan(item, levels - 1); });
}

Error nestedTooDeeply(const std::string &subject)
{
    return {ErrorKind::InvalidInput, subject + " is nested too deeply",
        "give tables of at most " + std::to_string(MaximumJsonDepth) + " levels"};
}

}

Result<Json> parseToml(const std::string &text, const std::string &subject)
{
    if (std::count(text.begin(), text.end(), '.') > MaximumDots) {
        return nestedTooDeeply(subject);
    }
    try {
        const toml::table table = toml::parse(text, subject);
        // The formatter indents each level, so its output grows with the square of the depth.
        if (nestsDeeperThan(table, MaximumJsonDepth)) {
            return nestedTooDeeply(subject);
        }
        std::ostringstream out;
        out << toml::json_formatter {table};
        return parseJson(out.str(), subject);
    } catch (const toml::parse_error &failure) {
        std::ostringstream place;
        place << failure.source().begin;
        return Error {ErrorKind::InvalidInput, subject + ", " + place.str() + ": " + std::string(failure.description()),
            "correct the TOML there"};
    }
}

}
