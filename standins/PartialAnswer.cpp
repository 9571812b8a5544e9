#include "PartialAnswer.h"

#include <algorithm>
#include <cstdio>

namespace Wagtail
{

namespace
{

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view LengthField = "Content-Length:";
constexpr std::string_view LastChunk = "\r\n0\r\n\r\n";

std::size_t between(std::size_t least, std::size_t most, std::mt19937_64 &random)
{
    return std::uniform_int_distribution<std::size_t>(least, std::max(least, most))(random);
}

// Returns the answer with a body of one chunk, or as it is if its head states no length.
std::string chunked(std::string_view answer, std::size_t headSize)
{
    const std::size_t field = answer.find(LengthField);
    if (field >= headSize) {
        return std::string(answer);
    }
    const std::size_t fieldEnd = answer.find(LineEnd, field);
    char size[2 * sizeof(std::size_t) + 1];
    std::snprintf(size, sizeof size, "%zx", answer.size() - headSize);
    std::string text(answer.substr(0, field));
    text += "Transfer-Encoding: chunked";
    text += answer.substr(fieldEnd, headSize - fieldEnd);
    text += size;
    text += LineEnd;
    text += answer.substr(headSize);
    text += LastChunk;
    return text;
}

}

PartialAnswer cutAnswer(std::string_view answer, std::mt19937_64 &random)
{
    const std::size_t end = answer.find(HeadEnd);
    const bool beginsAnswer = answer.starts_with("HTTP/") && end != std::string_view::npos;
    const std::size_t headSize = beginsAnswer ? end + HeadEnd.size() : 0;
    const bool hasBody = answer.size() > headSize;
    if (beginsAnswer && (!hasBody || between(0, 1, random) == 0)) {
        return {std::string(answer.substr(0, between(1, headSize - 1, random))), true};
    }
    std::string text = beginsAnswer && between(0, 1, random) == 0 ? chunked(answer, headSize) : std::string(answer);
    const std::size_t bodyBegin = beginsAnswer ? text.find(HeadEnd) + HeadEnd.size() : 0;
    text.resize(between(bodyBegin, text.size() - 1, random));
    return {std::move(text), false};
}

}
