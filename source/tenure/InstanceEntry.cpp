#include "tenure/InstanceEntry.h"

#include "base/JsonReader.h"
#include "http/HostAndPort.h"

namespace Wagtail
{

namespace
{

Json describe(const InstanceEntry &entry)
{
    return {{"name", entry.name}, {"address", entry.address}, {"data_centre", entry.dataCentre},
        {"region", entry.region}, {"incarnation", entry.incarnation}, {"millicores", entry.milliCores},
        {"message_version", entry.messageVersion}, {"probe_us", entry.probeMicroseconds}};
}

Result<InstanceEntry> parseInstance(const Json &document)
{
    InstanceEntry entry {memberOr(document, "name", std::string()), memberOr(document, "address", std::string()),
        memberOr(document, "data_centre", std::string()), memberOr(document, "region", std::string()),
        memberOr(document, "incarnation", std::string()), memberOr(document, "millicores", std::int64_t {0}),
        memberOr(document, "message_version", std::int64_t {0}), memberOr(document, "probe_us", std::int64_t {0})};
    if (entry.name.empty() || !hasOnlyHostCharacters(entry.address)) {
        return Error {ErrorKind::InvalidInput, "the instance's entry has no name or an address that is no host",
            "restart the instance, which writes its entry again"};
    }
    return entry;
}

}

std::string serialize(const InstanceEntry &entry)
{
    return writeJson(describe(entry));
}

Result<InstanceEntry> parseInstanceEntry(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the instance's entry");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    return parseInstance(std::get<Json>(document));
}

std::string serialize(const OwnerEntry &entry)
{
    return writeJson({{"instance", describe(entry.instance)}, {"tenure", entry.term}});
}

Result<OwnerEntry> parseOwnerEntry(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the owner's entry");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    const Json &members = std::get<Json>(document);
    Result<InstanceEntry> instance = parseInstance(memberOr(members, "instance", Json::object()));
    if (const Error *error = errorOf(instance)) {
        return *error;
    }
    return OwnerEntry {std::get<InstanceEntry>(std::move(instance)), memberOr(members, "tenure", std::uint64_t {0})};
}

}
