#include "workers/WorkerCodec.h"

namespace Wagtail
{

Json describe(const Resources &resources)
{
    return {{"millicores", resources.milliCores}, {"memory_mb", resources.memoryMegabytes},
        {"accelerators", resources.accelerators}};
}

Resources parseResources(const Json &document)
{
    return {memberOr(document, "millicores", std::int64_t {0}), memberOr(document, "memory_mb", std::int64_t {0}),
        memberOr(document, "accelerators", std::int64_t {0})};
}

Json describe(const WorkerDescription &worker)
{
    return {{"name", worker.name}, {"address", worker.address}, {"data_centre", worker.dataCentre},
        {"rack", worker.rack}, {"capacity", describe(worker.capacity)}, {"slots", worker.slots},
        {"connections", worker.connections}, {"state", worker.leaving ? "leaving" : "live"}};
}

WorkerDescription parseWorkerDescription(const Json &document)
{
    WorkerDescription worker;
    worker.name = memberOr(document, "name", std::string());
    worker.address = memberOr(document, "address", std::string());
    worker.dataCentre = memberOr(document, "data_centre", std::string());
    worker.rack = memberOr(document, "rack", std::string());
    worker.capacity = parseResources(memberOr(document, "capacity", Json::object()));
    worker.slots = memberOr(document, "slots", std::int64_t {0});
    worker.connections = memberOr(document, "connections", std::int64_t {0});
    worker.leaving = memberOr(document, "state", std::string("live")) != "live";
    return worker;
}

Json describe(const TaskAttempt &attempt)
{
    return {{"task", attempt.task}, {"attempt", attempt.attempt}};
}

TaskAttempt parseTaskAttempt(const Json &document)
{
    return {memberOr(document, "task", std::string()), memberOr(document, "attempt", std::uint64_t {0})};
}

Json describe(const Heartbeat &heartbeat)
{
    Json document {{"owner", heartbeat.owner}, {"token", heartbeat.token}, {"lease_ms", heartbeat.leaseMilliseconds},
        {"echo", heartbeat.echoedSequence}, {"known_tasks", heartbeat.knownTasksVersion}};
    if (!heartbeat.recordedEnds.empty()) {
        Json settled = Json::array();
        for (const TaskAttempt &attempt : heartbeat.recordedEnds) {
            settled.push_back(describe(attempt));
        }
        document["settled"] = std::move(settled);
    }
    return document;
}

Heartbeat parseHeartbeat(const Json &document)
{
    Heartbeat heartbeat {memberOr(document, "owner", std::string()), memberOr(document, "token", FencingToken {0}),
        memberOr(document, "lease_ms", std::int64_t {0}), memberOr(document, "echo", std::uint64_t {0}),
        memberOr(document, "known_tasks", std::string()), {}};
    for (const Json &attempt : memberOr(document, "settled", Json::array())) {
        heartbeat.recordedEnds.push_back(parseTaskAttempt(attempt));
    }
    return heartbeat;
}

Json describe(const TaskStart &start)
{
    Json document = describe(start.attempt);
    document["incarnation"] = start.incarnation;
    document["report"] = start.lastReportSequence;
    document["profile"] = start.profile;
    document["resources"] = describe(start.resources);
    document["payload"] = start.payload;
    document["checkpoint"] = start.checkpoint;
    return document;
}

TaskStart parseTaskStart(const Json &document)
{
    return {parseTaskAttempt(document), memberOr(document, "incarnation", std::string()),
        memberOr(document, "report", std::uint64_t {0}), memberOr(document, "profile", std::string()),
        parseResources(memberOr(document, "resources", Json::object())), memberOr(document, "payload", std::string()),
        memberOr(document, "checkpoint", std::string())};
}

Json describe(const WorkerReport &report)
{
    Json tasks = Json::array();
    for (const TaskReport &task : report.tasks) {
        Json item = describe(task.attempt);
        item["state"] = nameOf(task.state);
        item["profile"] = task.profile;
        item["declared"] = describe(task.declared);
        item["observed"] = describe(task.observed);
        if (!task.checkpoint.empty()) {
            item["checkpoint"] = task.checkpoint;
        }
        if (!task.result.empty()) {
            item["result"] = task.result;
        }
        tasks.push_back(std::move(item));
    }
    return {{"sequence", report.sequence}, {"incarnation", report.incarnation}, {"capacity", describe(report.capacity)},
        {"slots", report.slots}, {"connections", report.connections}, {"busy_slots", report.busySlots},
        {"state", report.leaving ? "leaving" : "live"}, {"tasks_version", report.tasksVersion},
        {"unchanged", report.tasksUnchanged}, {"tasks", std::move(tasks)}};
}

WorkerReport parseWorkerReport(const Json &document)
{
    WorkerReport report;
    report.sequence = memberOr(document, "sequence", std::uint64_t {0});
    report.incarnation = memberOr(document, "incarnation", std::string());
    report.capacity = parseResources(memberOr(document, "capacity", Json::object()));
    report.slots = memberOr(document, "slots", std::int64_t {0});
    report.connections = memberOr(document, "connections", std::int64_t {0});
    report.busySlots = memberOr(document, "busy_slots", std::int64_t {0});
    report.leaving = memberOr(document, "state", std::string("live")) != "live";
    report.tasksVersion = memberOr(document, "tasks_version", std::string());
    report.tasksUnchanged = memberOr(document, "unchanged", false);
    for (const Json &item : memberOr(document, "tasks", Json::array())) {
        report.tasks.push_back({parseTaskAttempt(item), workerTaskStateFromName(memberOr(item, "state", std::string())),
            memberOr(item, "profile", std::string()), parseResources(memberOr(item, "declared", Json::object())),
            parseResources(memberOr(item, "observed", Json::object())), memberOr(item, "checkpoint", std::string()),
            memberOr(item, "result", std::string())});
    }
    return report;
}

}
