#include "scheduling/LeaseHolderRecord.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Longer times were not written by an owner, and would not fit into nanoseconds.
constexpr std::int64_t MaximumMilliseconds = 1'000'000'000'000;

Json describeTasks(const std::set<TaskName> &tasks)
{
    Json names = Json::array();
    for (const TaskName &task : tasks) {
        names.push_back(task.text());
    }
    return names;
}

// Returns the tasks that the record names for a worker, or nothing if it does not name them or any name is unreadable.
std::optional<std::set<TaskName>> parseTasks(const Json &holder)
{
    const auto found = holder.find("tasks");
    if (found == holder.end() || !found->is_array()) {
        return std::nullopt;
    }
    std::set<TaskName> tasks;
    for (const Json &item : *found) {
        const std::optional<TaskName> task
            = item.is_string() ? TaskName::parse(item.get_ref<const std::string &>()) : std::nullopt;
        if (!task) {
            return std::nullopt;
        }
        tasks.insert(*task);
    }
    return tasks;
}

}

std::string serialize(const LeaseHolderRecord &record)
{
    Json holders = Json::object();
    for (const WorkerListing &worker : record.workers) {
        Json &holder = holders[worker.name];
        holder = {{"address", worker.address}, {"pool", worker.pool}, {"incarnation", worker.incarnation}};
        // The duration stands with each worker, because earlier versions read every member of the record as a worker.
        if (record.leaseDuration) {
            holder["lease_ms"] = record.leaseDuration->count();
        }
        holder["term"] = record.term;
        holder["names_all"] = record.namesAllHolders;
        holder["ended_starts"] = record.endedStarts;
        holder["earlier_starts_ended"] = record.earlierStartsEnded;
        const auto expiry = record.finalExpiries.find(worker.name);
        if (expiry != record.finalExpiries.end()) {
            holder["expires_ms"] = expiry->second.count();
        }
        const auto tasks = record.finalTasks.find(worker.name);
        if (tasks != record.finalTasks.end()) {
            holder["tasks"] = describeTasks(tasks->second);
        }
    }
    return writeJson(holders);
}

LeaseHolderRecord parseLeaseHolderRecord(const std::string &text)
{
    LeaseHolderRecord record;
    const Result<Json> document = parseJson(text, "the lease holders");
    const Json *members = std::get_if<Json>(&document);
    if (members == nullptr || !members->is_object()) {
        return record;
    }
    bool complete = !members->empty();
    record.namesAllHolders = complete;
    record.endedStarts = complete;
    record.earlierStartsEnded = complete;
    Milliseconds longest {0};
    for (const auto &[name, item] : members->items()) {
        WorkerListing worker;
        worker.name = name;
        worker.address = memberOr(item, "address", std::string());
        worker.pool = memberOr(item, "pool", std::string());
        worker.incarnation = memberOr(item, "incarnation", std::int64_t {0});
        record.workers.push_back(std::move(worker));
        record.term = std::max(record.term, memberOr(item, "term", std::uint64_t {0}));
        const auto expiry = memberOr(item, "expires_ms", std::int64_t {-1});
        if (expiry >= 0 && expiry <= MaximumMilliseconds) {
            record.finalExpiries[name] = Milliseconds(expiry);
            if (std::optional<std::set<TaskName>> tasks = parseTasks(item)) {
                record.finalTasks[name] = std::move(*tasks);
            }
        }
        const auto duration = memberOr(item, "lease_ms", std::int64_t {0});
        complete = complete && duration > 0 && duration <= MaximumMilliseconds;
        longest = std::max(longest, Milliseconds(duration));
        record.namesAllHolders = record.namesAllHolders && memberOr(item, "names_all", false);
        record.endedStarts = record.endedStarts && memberOr(item, "ended_starts", false);
        record.earlierStartsEnded = record.earlierStartsEnded && memberOr(item, "earlier_starts_ended", false);
    }
    if (complete) {
        record.leaseDuration = longest;
    }
    return record;
}

}
