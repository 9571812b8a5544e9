#include "configuration/StoreListingCodec.h"

#include <charconv>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string_view>

namespace Wagtail
{

namespace
{

constexpr std::string_view FormatName = "wagtail-entries-1";

Error invalidListing(const std::string &reason)
{
    return {ErrorKind::InvalidInput, "the listing of another instance is invalid: " + reason,
        "run one version on all instances"};
}

void appendNumbers(std::string &text, std::initializer_list<std::uint64_t> numbers)
{
    for (const std::uint64_t number : numbers) {
        text += std::to_string(number);
        text += '\n';
    }
}

// Reads a text from its start on.
class TextReader
{
public:
    explicit TextReader(std::string_view text) : m_text(text)
    {
    }

    // Returns the number in the next line, or nothing if there is none.
    std::optional<std::uint64_t> number()
    {
        const std::size_t end = m_text.find('\n');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        std::uint64_t value = 0;
        const auto [last, error] = std::from_chars(m_text.data(), m_text.data() + end, value);
        const bool isNumber = error == std::errc() && last == m_text.data() + end;
        m_text.remove_prefix(end + 1);
        return isNumber ? std::optional(value) : std::nullopt;
    }

    // Returns the next bytes, or nothing if there are not so many.
    std::optional<std::string> bytes(std::uint64_t count)
    {
        if (count > m_text.size()) {
            return std::nullopt;
        }
        std::string value(m_text.substr(0, count));
        m_text.remove_prefix(count);
        return value;
    }

    [[nodiscard]] bool isAtEnd() const
    {
        return m_text.empty();
    }

private:
    std::string_view m_text;
};

std::optional<StoreEntry> readEntry(TextReader &reader)
{
    const auto keyLength = reader.number();
    const auto valueLength = reader.number();
    const auto revision = reader.number();
    const auto lease = reader.number();
    if (!keyLength || !valueLength || !revision || !lease) {
        return std::nullopt;
    }
    std::optional<std::string> key = reader.bytes(*keyLength);
    std::optional<std::string> value = key ? reader.bytes(*valueLength) : std::nullopt;
    return value ? std::optional(StoreEntry {std::move(*key), std::move(*value), *revision, *lease}) : std::nullopt;
}

}

std::string serialize(const StoreListing &listing)
{
    std::string text(FormatName);
    text += '\n';
    appendNumbers(text, {listing.revision, listing.entries.size()});
    for (const StoreEntry &entry : listing.entries) {
        appendNumbers(text, {entry.key.size(), entry.value.size(), entry.revision, entry.lease});
        text += entry.key;
        text += entry.value;
    }
    return text;
}

Result<StoreListing> parseStoreListing(const std::string &text)
{
    if (!text.starts_with(std::string(FormatName) + '\n')) {
        return invalidListing("its format is unknown");
    }
    TextReader reader(std::string_view(text).substr(FormatName.size() + 1));
    StoreListing listing;
    listing.revision = reader.number().value_or(0);
    const std::optional<std::uint64_t> count = reader.number();
    if (listing.revision == 0 || !count) {
        return invalidListing("revision or number of entries are missing");
    }
    for (std::uint64_t i = 0; i < *count; ++i) {
        std::optional<StoreEntry> entry = readEntry(reader);
        if (!entry) {
            return invalidListing("an entry is incomplete");
        }
        listing.entries.push_back(std::move(*entry));
    }
    if (!reader.isAtEnd()) {
        return invalidListing("more follows its last entry");
    }
    return listing;
}

}
