#include "base/JsonReader.h"

namespace Wagtail
{

Result<Json> parseJson(std::string_view text, std::string_view subject)
{
    try {
        return Json::parse(text);
    } catch (const Json::exception &failure) {
        return Error {ErrorKind::InvalidInput, std::string(subject) + " is not valid JSON: " + failure.what(),
            "send a JSON document in UTF-8"};
    }
}

std::string writeJson(const Json &document)
{
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
