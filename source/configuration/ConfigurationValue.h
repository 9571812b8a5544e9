#pragma once

#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// Returns the text of a configuration entry. The change id distinguishes this change from another one to the same
// value.
[[nodiscard]] std::string writeConfigurationValue(const Json &value, const std::string &changeId);

// Returns the value in the text of a configuration entry. Fails with InvalidInput; the subject names the entry in the
// error.
[[nodiscard]] Result<Json> readConfigurationValue(const std::string &text, const std::string &subject);

}
