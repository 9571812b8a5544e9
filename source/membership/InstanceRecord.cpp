#include "membership/InstanceRecord.h"

namespace Wagtail
{

Json describe(const InstanceRecord &record)
{
    return {{"instance", record.instance}, {"data_centre", record.dataCentre}, {"region", record.region},
        {"peer", record.peerAddress}, {"http", record.httpAddress}, {"leaving", record.leaving}};
}

InstanceRecord parseInstanceRecord(const std::string &text)
{
    const Result<Json> parsed = parseJson(text, "the instance record");
    const Json document = errorOf(parsed) != nullptr ? Json::object() : std::get<Json>(parsed);
    return {memberOr(document, "instance", std::string()), memberOr(document, "data_centre", std::string()),
        memberOr(document, "region", std::string()), memberOr(document, "peer", std::string()),
        memberOr(document, "http", std::string()), memberOr(document, "leaving", false)};
}

}
