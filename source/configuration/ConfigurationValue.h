#pragma once

#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// Returns the text of a configuration entry: its value, with a mark that tells this change from an equal one.
[[nodiscard]] std::string writeConfigurationValue(const Json &value, const std::string &mark);

// Returns the value in the text of a configuration entry, or InvalidInput.
[[nodiscard]] Result<Json> readConfigurationValue(const std::string &text, const std::string &subject);

}
