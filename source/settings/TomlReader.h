#pragma once

#include "base/Error.h"
#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// Reads a TOML document into its JSON form. The error names the subject, the place and what is wrong there.
[[nodiscard]] Result<Json> parseToml(const std::string &text, const std::string &subject);

}
