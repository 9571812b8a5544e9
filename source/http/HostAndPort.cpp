#include "http/HostAndPort.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace Wagtail
{

namespace
{

// The longest name that the domain name system allows.
constexpr std::size_t MaximumHostLength = 253;

bool isOneOf(char character, std::string_view others)
{
    const bool isDigit = character >= '0' && character <= '9';
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit || isLetter || others.find(character) != std::string_view::npos;
}

bool consistsOf(std::string_view text, std::string_view others)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [others](char character) { return isOneOf(character, others); });
}

bool isHost(std::string_view text)
{
    if (text.size() > MaximumHostLength) {
        return false;
    }
    const bool isBracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    return isBracketed ? consistsOf(text.substr(1, text.size() - 2), ":.") && text.find(':') != std::string_view::npos
                       : consistsOf(text, ".-_");
}

bool isPort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, port);
    return error == std::errc() && end == last && port > 0;
}

}

bool isHostAndPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    return colon != std::string_view::npos && isHost(text.substr(0, colon)) && isPort(text.substr(colon + 1));
}

bool hasOnlyHostCharacters(std::string_view text)
{
    return consistsOf(text, ".-_:[]");
}

}
