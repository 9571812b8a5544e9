#include "tenure/JobRecord.h"

namespace Wagtail
{

namespace
{

Json describe(const JobRecord &record)
{
    return {{"job", describe(record.specification)}, {"policy", describe(record.policy)},
        {"accepted_ms", record.acceptedWall}};
}

Result<JobRecord> parseRecord(const Json &document)
{
    JobRecord record;
    Result<JobSpecification> specification = parseJobSpecification(memberOr(document, "job", Json()));
    if (const Error *error = errorOf(specification)) {
        return *error;
    }
    record.specification = std::get<JobSpecification>(std::move(specification));
    record.policy = parseQueuePolicy(memberOr(document, "policy", Json::object()));
    record.acceptedWall = memberOr(document, "accepted_ms", std::int64_t {0});
    return record;
}

}

std::string serialize(const JobRecord &record)
{
    return writeJson(describe(record));
}

Result<JobRecord> parseJobRecord(const std::string &text)
{
    const Result<Json> document = parseJson(text, "the job record");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    return parseRecord(std::get<Json>(document));
}

std::string serialize(const InboxEntry &entry)
{
    Json document = {{"request", entry.request == InboxRequest::Submit ? "submit" : "cancel"}, {"job", entry.job}};
    if (entry.record) {
        document["record"] = describe(*entry.record);
    }
    return writeJson(document);
}

Result<InboxEntry> parseInboxEntry(const std::string &text)
{
    const Result<Json> parsed = parseJson(text, "the inbox entry");
    if (const Error *error = errorOf(parsed)) {
        return *error;
    }
    const Json &document = std::get<Json>(parsed);
    InboxEntry entry;
    entry.job = memberOr(document, "job", std::string());
    if (memberOr(document, "request", std::string()) == "cancel") {
        entry.request = InboxRequest::Cancel;
        return entry;
    }
    Result<JobRecord> record = parseRecord(memberOr(document, "record", Json()));
    if (const Error *error = errorOf(record)) {
        return *error;
    }
    entry.record = std::get<JobRecord>(std::move(record));
    return entry;
}

}
