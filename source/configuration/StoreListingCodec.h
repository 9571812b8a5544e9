#pragma once

#include "base/Error.h"
#include "store/StoreMessages.h"

#include <string>

namespace Wagtail
{

// Returns the listing in the form in which instances send it to each other. Values may be any bytes.
[[nodiscard]] std::string serialize(const StoreListing &listing);

// Parses what serialize() returned, or fails with InvalidInput.
[[nodiscard]] Result<StoreListing> parseStoreListing(const std::string &text);

}
