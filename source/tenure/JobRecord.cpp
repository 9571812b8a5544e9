#include "tenure/JobRecord.h"

#include "base/NameTable.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

Json describe(const std::vector<DelegatedTask> &tasks)
{
    Json document = Json::array();
    for (const DelegatedTask &delegated : tasks) {
        Json entry = {{"task", delegated.task.text()}, {"last_run", delegated.lastRun}};
        if (delegated.clearedRun > 0) {
            entry["cleared_run"] = delegated.clearedRun;
        }
        delegated.crashes.describe(entry);
        document.push_back(std::move(entry));
    }
    return document;
}

// Returns nothing if the task has no valid name or last run.
std::optional<DelegatedTask> parseDelegatedTask(const Json &entry)
{
    const std::optional<TaskName> task = TaskName::parse(memberOr(entry, "task", std::string()));
    const auto lastRun = memberOr(entry, "last_run", std::uint64_t {0});
    const auto clearedRun = memberOr(entry, "cleared_run", std::uint64_t {0});
    if (!task || lastRun > MaximumRunNumber || clearedRun > MaximumRunNumber) {
        return std::nullopt;
    }
    return DelegatedTask {*task, lastRun, CrashHistory::parse(entry), clearedRun};
}

// Leaves out tasks that are malformed.
std::vector<DelegatedTask> parseDelegatedTasks(const Json &entries)
{
    std::vector<DelegatedTask> tasks;
    for (const Json &entry : entries) {
        if (std::optional<DelegatedTask> task = parseDelegatedTask(entry)) {
            tasks.push_back(*std::move(task));
        }
    }
    return tasks;
}

Json describe(const JobRecord &record)
{
    Json document = {{"job", describe(record.specification)}, {"policy", describe(record.policy)},
        {"accepted_ms", record.acceptedWall}};
    if (!record.delegated.empty()) {
        document["delegated"] = describe(record.delegated);
    }
    return document;
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
    record.acceptedWall
        = std::clamp(memberOr(document, "accepted_ms", std::int64_t {0}), std::int64_t {0}, MaximumWallTime);
    for (const Json &member : memberOr(document, "delegated", Json::array())) {
        std::optional<DelegatedTask> task = parseDelegatedTask(member);
        if (!task) {
            return Error {ErrorKind::InvalidInput, "a delegated task in the job record has an invalid name or last run",
                "run the same version on all instances"};
        }
        record.delegated.push_back(*std::move(task));
    }
    return record;
}

constexpr NameTable<InboxRequest, 6> RequestNames {
    {{{InboxRequest::Submit, "submit"}, {InboxRequest::Cancel, "cancel"}, {InboxRequest::Delegate, "delegate"},
        {InboxRequest::GiveUp, "give-up"}, {InboxRequest::Return, "return"}, {InboxRequest::Move, "move"}}}};

// Returns the member of an inbox entry that holds its tasks.
const char *tasksMember(InboxRequest request)
{
    return request == InboxRequest::Return ? "returned" : "given_up";
}

}

std::string_view nameOf(InboxRequest request)
{
    return RequestNames.nameOf(request);
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
    Json document = {{"request", nameOf(entry.request)}, {"job", entry.job}};
    if (entry.record) {
        document["record"] = describe(*entry.record);
    }
    if (!entry.tasks.empty()) {
        document[tasksMember(entry.request)] = describe(entry.tasks);
    }
    if (!entry.partition.empty()) {
        document["from"] = entry.partition;
    }
    if (!entry.nextPartition.empty()) {
        document["next"] = entry.nextPartition;
    }
    if (entry.isEarly) {
        document["early"] = true;
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
    const std::string name = memberOr(document, "request", std::string());
    const std::optional<InboxRequest> request = RequestNames.find(name);
    if (!request) {
        return Error {name.empty() ? ErrorKind::InvalidInput : ErrorKind::UnsupportedProtocol,
            "the inbox entry has an unknown request type", "run the same version on all instances"};
    }
    entry.request = *request;
    if (entry.request == InboxRequest::Cancel) {
        entry.isEarly = memberOr(document, "early", false);
        return entry;
    }
    if (entry.request == InboxRequest::Move) {
        entry.partition = memberOr(document, "from", std::string());
        return entry;
    }
    if (entry.request == InboxRequest::GiveUp || entry.request == InboxRequest::Return) {
        entry.tasks = parseDelegatedTasks(memberOr(document, tasksMember(entry.request), Json::array()));
        entry.partition = memberOr(document, "from", std::string());
        entry.nextPartition = memberOr(document, "next", std::string());
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
