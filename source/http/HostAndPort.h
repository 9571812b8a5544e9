#pragma once

#include <string_view>

namespace Wagtail
{

// Returns whether the text is an IP address or a host name with a port from 1 to 65535, such as 10.0.0.1:80, and may
// thus stand in a URL. An IPv6 address stands in brackets.
[[nodiscard]] bool isHostAndPort(std::string_view text);

// Returns whether the text has no character that would end a host in a URL, such as a slash, a space or a line break.
[[nodiscard]] bool hasOnlyHostCharacters(std::string_view text);

}
