#pragma once

#include "base/Error.h"

#include <string>
#include <vector>

namespace Wagtail
{

// Returns the text of a settings file. Fails with InvalidInput when it can't be read.
[[nodiscard]] Result<std::string> readSettingsFile(const std::string &path);

// Prints every fault with its remedy to standard error.
void printErrors(const std::vector<Error> &errors);

}
