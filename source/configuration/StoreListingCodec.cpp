#include "configuration/StoreListingCodec.h"

#include "base/JsonReader.h"

namespace Wagtail
{

namespace
{

Error invalidListing(const std::string &reason)
{
    return {ErrorKind::InvalidInput, "the listing of another instance is invalid: " + reason,
        "run one version on all instances"};
}

// Returns the entry, or nothing if the row is not of the form [key, value, revision, lease].
std::optional<StoreEntry> parseRow(const Json &row)
{
    constexpr std::size_t Columns = 4;
    constexpr std::size_t RevisionColumn = 2;
    constexpr std::size_t LeaseColumn = 3;
    if (!row.is_array() || row.size() != Columns || !row[0].is_string() || !row[1].is_string()) {
        return std::nullopt;
    }
    const auto revision = numberOf<StoreRevision>(row[RevisionColumn]);
    const auto lease = numberOf<LeaseIdentifier>(row[LeaseColumn]);
    if (!revision || !lease) {
        return std::nullopt;
    }
    return StoreEntry {row[0].get<std::string>(), row[1].get<std::string>(), *revision, *lease};
}

}

std::string serialize(const StoreListing &listing)
{
    Json rows = Json::array();
    for (const StoreEntry &entry : listing.entries) {
        rows.push_back(Json::array({entry.key, entry.value, entry.revision, entry.lease}));
    }
    const Json document = {{"revision", listing.revision}, {"entries", std::move(rows)}};
    std::string text;
    Json::to_msgpack(document, text);
    return text;
}

Result<StoreListing> parseStoreListing(const std::string &text)
{
    constexpr bool Strict = true;
    constexpr bool AllowExceptions = false;
    const Json document = Json::from_msgpack(text, Strict, AllowExceptions);
    if (document.is_discarded() || !document.is_object()) {
        return invalidListing("it is no document");
    }
    StoreListing listing;
    listing.revision = memberOr(document, "revision", StoreRevision {0});
    const auto rows = document.find("entries");
    if (listing.revision == 0 || rows == document.end() || !rows->is_array()) {
        return invalidListing("revision or entries are missing");
    }
    for (const Json &row : *rows) {
        std::optional<StoreEntry> entry = parseRow(row);
        if (!entry) {
            return invalidListing("an entry has missing fields");
        }
        listing.entries.push_back(std::move(*entry));
    }
    return listing;
}

}
