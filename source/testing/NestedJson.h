#pragma once

#include <cstddef>
#include <string>

namespace Wagtail
{

// Returns the text of a document of arrays inside each other.
inline std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// Returns the text of a document of objects inside each other.
inline std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 1; i < depth; ++i) {
        text += R"({"a":)";
    }
    return text + "{}" + std::string(depth - 1, '}');
}

}
