#pragma once

#include <map>
#include <string>

namespace Wagtail
{

// Reads --name=value arguments of a stand-in program into a map.
inline std::map<std::string, std::string> readOptions(int count, char **arguments)
{
    std::map<std::string, std::string> options;
    for (int i = 1; i < count; ++i) {
        const std::string argument = arguments[i];
        const std::size_t equals = argument.find('=');
        if (argument.starts_with("--") && equals != std::string::npos) {
            options[argument.substr(2, equals - 2)] = argument.substr(equals + 1);
        }
    }
    return options;
}

// Returns the named option, or the fallback.
inline std::string optionOr(
    const std::map<std::string, std::string> &options, const std::string &name, const std::string &fallback)
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

}
