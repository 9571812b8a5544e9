#include "jobs/ShardRecords.h"

#include "base/NameTable.h"
#include "workers/WorkerCodec.h"

namespace Wagtail
{

namespace
{

constexpr NameTable<TaskPhase, 8> PhaseNames {{{
    {TaskPhase::Waiting, "waiting"},
    {TaskPhase::Assigned, "assigned"},
    {TaskPhase::Moving, "moving"},
    {TaskPhase::Done, "done"},
    {TaskPhase::Failed, "failed"},
    {TaskPhase::Cancelled, "cancelled"},
    {TaskPhase::Unknown, "unknown"},
    {TaskPhase::Moved, "moved"},
}}};

constexpr NameTable<ReleaseReason, 4> ReasonNames {{{
    {ReleaseReason::NotStarted, "not-started"},
    {ReleaseReason::Evicted, "evicted"},
    {ReleaseReason::Lost, "lost"},
    {ReleaseReason::Failed, "failed"},
}}};

// Writes each kind of record; the member "kind" tells them apart.
struct Describer
{
    Json operator()(const TaskAccepted &record) const
    {
        Json document = describe(record.specification);
        document["kind"] = "accepted";
        document["last_attempt"] = record.lastAttempt;
        document["checkpoint"] = record.checkpoint;
        document["moves"] = record.moves;
        return document;
    }

    Json operator()(const TaskAssigned &record) const
    {
        Json document = describe(record.attempt);
        document["kind"] = "assigned";
        document["worker"] = record.worker;
        document["incarnation"] = record.incarnation;
        return document;
    }

    Json operator()(const TaskReleased &record) const
    {
        Json document = describe(record.attempt);
        document["kind"] = "released";
        document["reason"] = nameOf(record.reason);
        document["checkpoint"] = record.checkpoint;
        document["detail"] = record.detail;
        return document;
    }

    Json operator()(const TaskFinished &record) const
    {
        return {{"kind", "finished"}, {"task", record.task}, {"phase", nameOf(record.phase)}, {"result", record.result},
            {"at", record.finishedAt}};
    }

    Json operator()(const TaskCancelRequested &record) const
    {
        return {{"kind", "cancel"}, {"task", record.task}};
    }

    Json operator()(const TaskMoveStarted &record) const
    {
        return {{"kind", "move"}, {"task", record.task}, {"target", record.target}};
    }

    Json operator()(const TaskMoveEnded &record) const
    {
        return {{"kind", "move-end"}, {"task", record.task}, {"accepted", record.accepted}};
    }

    Json operator()(const KeyClaimed &record) const
    {
        return {{"kind", "claimed"}, {"key", record.key}, {"digest", record.digest}, {"at", record.claimedAt}};
    }

    Json operator()(const KeyOutcomeRecorded &record) const
    {
        // A body may hold any bytes, JSON text may not.
        return {{"kind", "settled"}, {"key", record.key}, {"outcome", nameOf(record.outcome)},
            {"status", record.status}, {"type", record.contentType},
            {"body", std::vector<unsigned char>(record.body.begin(), record.body.end())}};
    }

    Json operator()(const TakenOver &record) const
    {
        return {{"kind", "taken-over"}, {"instance", record.instance}, {"token", record.token}};
    }
};

KeyOutcomeRecorded parseSettled(const Json &document)
{
    const auto bytes = memberOr(document, "body", std::vector<unsigned char>());
    const auto outcome = outcomeFromName(memberOr(document, "outcome", std::string()));
    return {memberOr(document, "key", std::string()), outcome.value_or(Outcome::Unknown),
        memberOr(document, "status", 0), memberOr(document, "type", std::string()),
        std::string(bytes.begin(), bytes.end())};
}

}

std::string_view nameOf(TaskPhase phase)
{
    return PhaseNames.nameOf(phase);
}

TaskPhase taskPhaseFromName(std::string_view name)
{
    return PhaseNames.find(name).value_or(TaskPhase::Unknown);
}

bool isFinal(TaskPhase phase)
{
    return phase != TaskPhase::Waiting && phase != TaskPhase::Assigned && phase != TaskPhase::Moving;
}

std::string_view nameOf(ReleaseReason reason)
{
    return ReasonNames.nameOf(reason);
}

ReleaseReason releaseReasonFromName(std::string_view name)
{
    return ReasonNames.find(name).value_or(ReleaseReason::Lost);
}

Demand demandOf(const TaskSpecification &specification)
{
    return {specification.resources, 0, specification.profile};
}

Json describe(const TaskSpecification &specification)
{
    return {{"task", specification.task}, {"profile", specification.profile},
        {"class", nameOf(specification.profileClass)}, {"team", specification.team},
        {"resources", describe(specification.resources)}, {"payload", specification.payload},
        {"submitted", specification.submittedAt}, {"deadline", specification.deadline},
        {"priority", specification.priority}, {"max_attempts", specification.maximumAttempts},
        {"idempotent", specification.repeatability == Repeatability::Idempotent}};
}

TaskSpecification parseTaskSpecification(const Json &document)
{
    TaskSpecification specification;
    specification.task = memberOr(document, "task", std::string());
    specification.profile = memberOr(document, "profile", std::string());
    const bool watcher = memberOr(document, "class", std::string()) == nameOf(ProfileClass::Watcher);
    specification.profileClass = watcher ? ProfileClass::Watcher : ProfileClass::Batch;
    specification.team = memberOr(document, "team", std::string());
    specification.resources = parseResources(memberOr(document, "resources", Json::object()));
    specification.payload = memberOr(document, "payload", std::string());
    specification.submittedAt = memberOr(document, "submitted", std::int64_t {0});
    specification.deadline = memberOr(document, "deadline", std::int64_t {0});
    specification.priority = memberOr(document, "priority", 0);
    specification.maximumAttempts = memberOr(document, "max_attempts", 1);
    const bool idempotent = memberOr(document, "idempotent", false);
    specification.repeatability = idempotent ? Repeatability::Idempotent : Repeatability::AtMostOnce;
    return specification;
}

Json describe(const ShardRecord &record)
{
    return std::visit(Describer(), record);
}

Result<ShardRecord> parseShardRecord(const Json &document)
{
    const std::string kind = memberOr(document, "kind", std::string());
    const std::string task = memberOr(document, "task", std::string());
    if (kind == "accepted") {
        return ShardRecord(
            TaskAccepted {parseTaskSpecification(document), memberOr(document, "last_attempt", std::uint64_t {0}),
                memberOr(document, "checkpoint", std::string()), memberOr(document, "moves", std::uint64_t {0})});
    }
    if (kind == "assigned") {
        return ShardRecord(TaskAssigned {parseTaskAttempt(document), memberOr(document, "worker", std::string()),
            memberOr(document, "incarnation", std::string())});
    }
    if (kind == "released") {
        return ShardRecord(TaskReleased {parseTaskAttempt(document),
            releaseReasonFromName(memberOr(document, "reason", std::string())),
            memberOr(document, "checkpoint", std::string()), memberOr(document, "detail", std::string())});
    }
    if (kind == "finished") {
        return ShardRecord(TaskFinished {task, taskPhaseFromName(memberOr(document, "phase", std::string())),
            memberOr(document, "result", std::string()), memberOr(document, "at", std::int64_t {0})});
    }
    if (kind == "cancel") {
        return ShardRecord(TaskCancelRequested {task});
    }
    if (kind == "move") {
        return ShardRecord(TaskMoveStarted {task, memberOr(document, "target", std::string())});
    }
    if (kind == "move-end") {
        return ShardRecord(TaskMoveEnded {task, memberOr(document, "accepted", false)});
    }
    if (kind == "claimed") {
        return ShardRecord(KeyClaimed {memberOr(document, "key", std::string()),
            memberOr(document, "digest", std::uint64_t {0}), memberOr(document, "at", std::int64_t {0})});
    }
    if (kind == "settled") {
        return ShardRecord(parseSettled(document));
    }
    if (kind == "taken-over") {
        return ShardRecord(
            TakenOver {memberOr(document, "instance", std::string()), memberOr(document, "token", FencingToken {0})});
    }
    return Error {ErrorKind::Internal, "the shard log holds a record of the unknown kind '" + kind + "'",
        "run a release that knows it"};
}

}
