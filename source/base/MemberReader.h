#pragma once

#include "base/Error.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// Reads the members of a JSON object, collects every fault and finds members that nobody asked for.
class MemberReader
{
public:
    MemberReader(const Json &document, std::string subject);

    [[nodiscard]] std::int64_t integer(
        const std::string &name, std::int64_t least, std::int64_t most, std::int64_t fallback);
    [[nodiscard]] bool boolean(const std::string &name, bool fallback);
    [[nodiscard]] std::string text(const std::string &name, const std::string &fallback);
    [[nodiscard]] std::vector<std::string> texts(const std::string &name);

    // Reads one of the given words. An empty fallback makes the member required.
    [[nodiscard]] std::string choice(
        const std::string &name, const std::vector<std::string> &words, const std::string &fallback);

    // Returns all faults found so far as one InvalidInput error.
    [[nodiscard]] Status finish();

private:
    [[nodiscard]] const Json *find(const std::string &name);
    void fault(const std::string &what, const std::string &remedy);

    Json m_document;
    std::string m_subject;
    std::set<std::string> m_known;
    std::string m_details;
    std::string m_remedies;
};

}
