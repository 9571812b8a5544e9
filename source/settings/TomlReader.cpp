#include "settings/TomlReader.h"

#include <sstream>
#include <toml++/toml.h>

namespace Wagtail
{

Result<Json> parseToml(const std::string &text, const std::string &subject)
{
    try {
        const toml::table table = toml::parse(text, subject);
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
