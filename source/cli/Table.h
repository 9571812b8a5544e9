#pragma once

#include "base/JsonReader.h"

#include <string>
#include <vector>

namespace Wagtail
{

// Returns the rows of a JSON array as a table with the given members as columns.
[[nodiscard]] std::string formatTable(const Json &rows, const std::vector<std::string> &columns);

// Returns an object as lines of "name: value".
[[nodiscard]] std::string formatFields(const Json &document);

}
