#include "base/MemberReader.h"

#include <algorithm>

namespace Wagtail
{

MemberReader::MemberReader(const Json &document, std::string subject)
    : m_document(document), m_subject(std::move(subject))
{
    if (!m_document.is_object()) {
        fault("it is not an object", "send an object of named members");
        m_document = Json::object();
    }
}

const Json *MemberReader::find(const std::string &name)
{
    m_known.insert(name);
    const auto found = m_document.find(name);
    return found == m_document.end() ? nullptr : &*found;
}

void MemberReader::fault(const std::string &what, const std::string &remedy)
{
    m_details += m_details.empty() ? what : "; " + what;
    m_remedies += m_remedies.empty() ? remedy : "; " + remedy;
}

std::int64_t MemberReader::integer(
    const std::string &name, std::int64_t least, std::int64_t most, std::int64_t fallback)
{
    const Json *member = find(name);
    if (member == nullptr) {
        return fallback;
    }
    const std::string remedy
        = "set " + name + " to a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    if (!member->is_number_integer()) {
        fault(name + " is not a whole number", remedy);
        return fallback;
    }
    const std::optional<std::int64_t> value = numberOf<std::int64_t>(*member);
    if (!value || *value < least || *value > most) {
        fault(name + " is out of range", remedy);
        return fallback;
    }
    return *value;
}

bool MemberReader::boolean(const std::string &name, bool fallback)
{
    const Json *member = find(name);
    if (member == nullptr) {
        return fallback;
    }
    if (!member->is_boolean()) {
        fault(name + " is not a boolean", "set " + name + " to true or false");
        return fallback;
    }
    return member->get<bool>();
}

std::string MemberReader::text(const std::string &name, const std::string &fallback)
{
    const Json *member = find(name);
    if (member == nullptr) {
        return fallback;
    }
    if (!member->is_string()) {
        fault(name + " is not a text", "put " + name + " in quotes");
        return fallback;
    }
    return member->get<std::string>();
}

std::vector<std::string> MemberReader::texts(const std::string &name)
{
    const Json *member = find(name);
    if (member == nullptr) {
        return {};
    }
    const bool valid = member->is_array()
        && std::all_of(member->begin(), member->end(), [](const Json &item) { return item.is_string(); });
    if (!valid) {
        fault(name + " is not a list of texts", "give " + name + " as a list of quoted names");
        return {};
    }
    return member->get<std::vector<std::string>>();
}

std::string MemberReader::choice(
    const std::string &name, const std::vector<std::string> &words, const std::string &fallback)
{
    const Json *member = find(name);
    if (member == nullptr && !fallback.empty()) {
        return fallback;
    }
    std::string list;
    for (const std::string &word : words) {
        list += list.empty() ? word : ", " + word;
    }
    if (member == nullptr) {
        fault(name + " is missing", "set " + name + " to one of " + list);
        return words.front();
    }
    const bool valid = member->is_string() && std::ranges::find(words, member->get<std::string>()) != words.end();
    if (!valid) {
        fault(name + " is not known", "set " + name + " to one of " + list);
        return words.front();
    }
    return member->get<std::string>();
}

Status MemberReader::finish()
{
    for (const auto &[name, value] : m_document.items()) {
        if (!m_known.contains(name)) {
            fault("member '" + name + "' is not known", "remove or correct '" + name + "'");
        }
    }
    if (m_details.empty()) {
        return std::monostate();
    }
    return Error {ErrorKind::InvalidInput, m_subject + ": " + m_details, m_remedies};
}

}
