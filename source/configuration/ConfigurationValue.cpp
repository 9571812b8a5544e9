#include "configuration/ConfigurationValue.h"

namespace Wagtail
{

std::string writeConfigurationValue(const Json &value, const std::string &changeId)
{
    return writeJson({{"mark", changeId}, {"value", value}});
}

Result<Json> readConfigurationValue(const std::string &text, const std::string &subject)
{
    const Result<Json> document = parseJson(text, subject);
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    return memberOr(std::get<Json>(document), "value", Json());
}

}
