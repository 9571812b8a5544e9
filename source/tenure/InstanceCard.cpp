#include "tenure/InstanceCard.h"

#include "base/JsonReader.h"

namespace Wagtail
{

namespace
{

Json describe(const InstanceCard &card)
{
    return {{"name", card.name}, {"address", card.address}, {"data_centre", card.dataCentre}, {"region", card.region},
        {"incarnation", card.incarnation}, {"millicores", card.milliCores}};
}

InstanceCard parseCard(const Json &document)
{
    return {memberOr(document, "name", std::string()), memberOr(document, "address", std::string()),
        memberOr(document, "data_centre", std::string()), memberOr(document, "region", std::string()),
        memberOr(document, "incarnation", std::string()), memberOr(document, "millicores", std::int64_t {0})};
}

}

std::string serialize(const InstanceCard &card)
{
    return writeJson(describe(card));
}

Result<InstanceCard> parseInstanceCard(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the instance's entry");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    return parseCard(std::get<Json>(document));
}

std::string serialize(const OwnerCard &card)
{
    return writeJson({{"instance", describe(card.instance)}, {"tenure", card.tenure}});
}

Result<OwnerCard> parseOwnerCard(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the owner's entry");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    const Json &members = std::get<Json>(document);
    return OwnerCard {
        parseCard(memberOr(members, "instance", Json::object())), memberOr(members, "tenure", std::uint64_t {0})};
}

}
