#include "tenure/StoreHealthReport.h"

#include "base/JsonReader.h"

#include <algorithm>

namespace Wagtail
{

std::string serialize(const StoreHealthReport &report)
{
    Json document = {{"owner_revisions", report.ownerRevisions}};
    if (report.answerAge) {
        document["answer_age_ms"] = report.answerAge->count();
    }
    return writeJson(document);
}

Result<StoreHealthReport> parseStoreHealthReport(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the store health report");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    const Json &members = std::get<Json>(document);
    if (!members.is_object()) {
        return Error {ErrorKind::InvalidInput, "the store health report is no object", "run one version everywhere"};
    }
    StoreHealthReport report;
    if (const auto age = members.find("answer_age_ms"); age != members.end()) {
        if (const std::optional<std::int64_t> milliseconds = numberOf<std::int64_t>(*age)) {
            report.answerAge = Milliseconds(std::max<std::int64_t>(0, *milliseconds));
        }
    }
    if (const auto revisions = members.find("owner_revisions"); revisions != members.end() && revisions->is_object()) {
        for (const auto &[partition, value] : revisions->items()) {
            if (const std::optional<StoreRevision> revision = numberOf<StoreRevision>(value)) {
                report.ownerRevisions[partition] = *revision;
            }
        }
    }
    return report;
}

}
