#include "http/HttpMessages.h"

#include <cctype>
#include <charconv>
#include <strings.h>

namespace Wagtail
{

namespace
{

constexpr std::string_view UnreservedCharacters = "-._~/";

bool sameName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}

std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (sameName(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

bool HttpCall::mayBeSentAgain() const
{
    return isIdempotent || method == "GET" || method == "HEAD";
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char *first = text.data() + i + 1;
            const auto [end, error] = std::from_chars(first, first + 2, value, 16);
            if (error == std::errc() && end == first + 2) {
                decoded.push_back(static_cast<char>(value));
                i += 2;
                continue;
            }
        }
        decoded.push_back(text[i]);
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || UnreservedCharacters.find(character) != std::string_view::npos) {
            encoded.push_back(character);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(Digits[byte >> 4U]);
        encoded.push_back(Digits[byte & 0xfU]);
    }
    return encoded;
}

std::optional<std::string> HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::optional<std::string> HttpRequest::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<std::string> HttpAnswer::header(std::string_view name) const
{
    return findHeader(headers, name);
}

}
