#include "base/JsonReader.h"

namespace Wagtail
{

namespace
{

// The parser quotes the token at which it fails, which may be as long as the document.
constexpr std::size_t MaximumReasonBytes = 200;

// Returns the position of the quotation mark that ends the text that begins at the given one, or the end of the
// document.
std::size_t endOfText(std::string_view document, std::size_t begin)
{
    for (std::size_t position = begin + 1; position < document.size(); ++position) {
        position = document.find('"', position);
        if (position == std::string_view::npos) {
            break;
        }
        std::size_t backslashes = 0;
        while (document[position - 1 - backslashes] == '\\') {
            ++backslashes;
        }
        if (backslashes % 2 == 0) {
            return position;
        }
    }
    return document.size();
}

// Returns whether a document nests too deeply, up to the place where it stops being valid JSON. The parser itself would
// build the whole document before its depth could be checked.
bool nestsTooDeeply(std::string_view document)
{
    std::size_t depth = 0;
    for (std::size_t position = 0; position < document.size(); ++position) {
        switch (document[position]) {
        case '"':
            position = endOfText(document, position);
            break;
        case '[':
        case '{':
            if (++depth > MaximumJsonDepth) {
                return true;
            }
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        default:
            break;
        }
    }
    return false;
}

}

Result<Json> parseJson(std::string_view text, std::string_view subject)
{
    if (nestsTooDeeply(text)) {
        const std::string levels = std::to_string(MaximumJsonDepth);
        return Error {ErrorKind::InvalidInput, std::string(subject) + " is nested more than " + levels + " levels deep",
            "send a document with at most " + levels + " levels of arrays and objects"};
    }
    try {
        return Json::parse(text);
    } catch (const Json::exception &failure) {
        const std::string reason = std::string(failure.what()).substr(0, MaximumReasonBytes);
        return Error {ErrorKind::InvalidInput, std::string(subject) + " is not valid JSON: " + reason,
            "send a JSON document in UTF-8"};
    }
}

std::string writeJson(const Json &document)
{
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
