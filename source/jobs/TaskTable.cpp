#include "jobs/TaskTable.h"

#include <algorithm>

namespace Wagtail
{

bool TaskTable::apply(const ShardRecord &record)
{
    struct Visitor
    {
        TaskTable &table;

        bool operator()(const TaskAccepted &accepted) const
        {
            return table.accept(accepted);
        }
        bool operator()(const TaskAssigned &assigned) const
        {
            return table.assign(assigned);
        }
        bool operator()(const TaskReleased &released) const
        {
            return table.release(released);
        }
        bool operator()(const TaskFinished &finished) const
        {
            return table.finish(finished);
        }
        bool operator()(const TaskCancelRequested &request) const
        {
            return table.requestCancel(request);
        }
        bool operator()(const TaskMoveStarted &move) const
        {
            return table.startMove(move);
        }
        bool operator()(const TaskMoveEnded &move) const
        {
            return table.endMove(move);
        }
        bool operator()(const KeyClaimed &claimed) const
        {
            return table.claim(claimed);
        }
        bool operator()(const KeyOutcomeRecorded &settled) const
        {
            return table.settle(settled);
        }
        bool operator()(const TakenOver &takenOver) const
        {
            table.m_token = std::max(table.m_token, takenOver.token);
            return true;
        }
    };
    return std::visit(Visitor {*this}, record);
}

bool TaskTable::accept(const TaskAccepted &record)
{
    if (!isNew(record)) {
        return false;
    }
    TaskEntry entry;
    entry.specification = record.specification;
    entry.attempt = record.lastAttempt;
    entry.checkpoint = record.checkpoint;
    entry.moves = record.moves;
    TaskEntry &placed = m_tasks[record.specification.task];
    placed = std::move(entry);
    setPhase(placed, TaskPhase::Waiting);
    return true;
}

bool TaskTable::isNew(const TaskAccepted &offer) const
{
    const TaskEntry *present = find(offer.specification.task);
    return present == nullptr || (present->phase == TaskPhase::Moved && offer.moves > present->moves);
}

bool TaskTable::assign(const TaskAssigned &record)
{
    const auto found = m_tasks.find(record.attempt.task);
    if (found == m_tasks.end() || found->second.phase != TaskPhase::Waiting
        || record.attempt.attempt != found->second.attempt + 1) {
        return false;
    }
    setPhase(found->second, TaskPhase::Assigned);
    found->second.attempt = record.attempt.attempt;
    found->second.worker = record.worker;
    found->second.incarnation = record.incarnation;
    return true;
}

bool TaskTable::release(const TaskReleased &record)
{
    const auto found = m_tasks.find(record.attempt.task);
    if (found == m_tasks.end() || found->second.phase != TaskPhase::Assigned
        || found->second.attempt != record.attempt.attempt) {
        return false;
    }
    TaskEntry &entry = found->second;
    setPhase(entry, TaskPhase::Waiting);
    entry.reason = record.detail;
    if (!record.checkpoint.empty()) {
        entry.checkpoint = record.checkpoint;
    }
    if (record.reason == ReleaseReason::Failed) {
        ++entry.failures;
        entry.failedOn.insert(entry.worker);
    } else if (record.reason != ReleaseReason::NotStarted) {
        ++entry.evictions;
    }
    entry.worker.clear();
    return true;
}

bool TaskTable::finish(const TaskFinished &record)
{
    const auto found = m_tasks.find(record.task);
    if (found == m_tasks.end() || isFinal(found->second.phase) || !isFinal(record.phase)) {
        return false;
    }
    TaskEntry &entry = found->second;
    setPhase(entry, record.phase);
    entry.result = record.result;
    entry.finishedAt = record.finishedAt;
    entry.specification.payload.clear();
    return true;
}

bool TaskTable::requestCancel(const TaskCancelRequested &record)
{
    const auto found = m_tasks.find(record.task);
    if (found == m_tasks.end() || isFinal(found->second.phase)) {
        return false;
    }
    found->second.cancelRequested = true;
    return true;
}

bool TaskTable::startMove(const TaskMoveStarted &record)
{
    const auto found = m_tasks.find(record.task);
    if (found == m_tasks.end() || found->second.phase != TaskPhase::Waiting) {
        return false;
    }
    setPhase(found->second, TaskPhase::Moving);
    found->second.movedTo = record.target;
    ++found->second.moves;
    return true;
}

bool TaskTable::endMove(const TaskMoveEnded &record)
{
    const auto found = m_tasks.find(record.task);
    if (found == m_tasks.end() || found->second.phase != TaskPhase::Moving) {
        return false;
    }
    setPhase(found->second, record.accepted ? TaskPhase::Moved : TaskPhase::Waiting);
    if (record.accepted) {
        found->second.specification.payload.clear();
    } else {
        found->second.movedTo.clear();
    }
    return true;
}

bool TaskTable::claim(const KeyClaimed &record)
{
    return m_claims.try_emplace(record.key, ClaimEntry {record.digest, record.claimedAt, false, {}}).second;
}

bool TaskTable::settle(const KeyOutcomeRecorded &record)
{
    const auto found = m_claims.find(record.key);
    if (found == m_claims.end() || found->second.settled) {
        return false;
    }
    if (record.outcome == Outcome::NotRun) {
        m_claims.erase(found);
        return true;
    }
    found->second.settled = true;
    found->second.answer = record;
    return true;
}

void TaskTable::setPhase(TaskEntry &entry, TaskPhase phase)
{
    entry.phase = phase;
    if (phase == TaskPhase::Waiting || phase == TaskPhase::Moving) {
        m_unassigned.insert(entry.specification.task);
    } else {
        m_unassigned.erase(entry.specification.task);
    }
}

const std::set<std::string> &TaskTable::unassigned() const
{
    return m_unassigned;
}

const TaskEntry *TaskTable::find(const std::string &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? nullptr : &found->second;
}

const std::map<std::string, TaskEntry> &TaskTable::tasks() const
{
    return m_tasks;
}

const ClaimEntry *TaskTable::findClaim(const std::string &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

std::size_t TaskTable::claimCount() const
{
    return m_claims.size();
}

void TaskTable::forgetClaims(std::int64_t claimedBefore)
{
    std::erase_if(m_claims, [claimedBefore](const auto &item) { return item.second.claimedAt < claimedBefore; });
}

void TaskTable::forgetTasks(std::int64_t endedBefore, std::size_t most)
{
    std::erase_if(m_tasks,
        [endedBefore](const auto &item) { return isFinal(item.second.phase) && item.second.finishedAt < endedBefore; });
    std::vector<std::pair<std::int64_t, std::string>> finished;
    for (const auto &[name, entry] : m_tasks) {
        if (isFinal(entry.phase)) {
            finished.emplace_back(entry.finishedAt, name);
        }
    }
    if (finished.size() <= most) {
        return;
    }
    std::sort(finished.begin(), finished.end());
    finished.resize(finished.size() - most);
    for (const auto &[finishedAt, name] : finished) {
        m_tasks.erase(name);
    }
}

FencingToken TaskTable::token() const
{
    return m_token;
}

Json TaskTable::snapshot() const
{
    Json tasks = Json::array();
    for (const auto &[name, entry] : m_tasks) {
        Json item = describe(entry.specification);
        item["phase"] = nameOf(entry.phase);
        item["attempt"] = entry.attempt;
        item["worker"] = entry.worker;
        item["incarnation"] = entry.incarnation;
        item["checkpoint"] = entry.checkpoint;
        item["failures"] = entry.failures;
        item["evictions"] = entry.evictions;
        item["failed_on"] = entry.failedOn;
        item["moves"] = entry.moves;
        item["cancel"] = entry.cancelRequested;
        item["result"] = entry.result;
        item["reason"] = entry.reason;
        item["moved_to"] = entry.movedTo;
        item["finished_at"] = entry.finishedAt;
        tasks.push_back(std::move(item));
    }
    Json claims = Json::array();
    for (const auto &[key, claim] : m_claims) {
        Json item = describe(ShardRecord(KeyClaimed {key, claim.digest, claim.claimedAt}));
        if (claim.settled) {
            item["answer"] = describe(ShardRecord(claim.answer));
        }
        claims.push_back(std::move(item));
    }
    return {{"token", m_token}, {"tasks", std::move(tasks)}, {"claims", std::move(claims)}};
}

TaskTable TaskTable::parse(const Json &document)
{
    TaskTable table;
    table.m_token = memberOr(document, "token", FencingToken {0});
    for (const Json &item : memberOr(document, "tasks", Json::array())) {
        TaskEntry entry;
        entry.specification = parseTaskSpecification(item);
        entry.phase = taskPhaseFromName(memberOr(item, "phase", std::string()));
        entry.attempt = memberOr(item, "attempt", std::uint64_t {0});
        entry.worker = memberOr(item, "worker", std::string());
        entry.incarnation = memberOr(item, "incarnation", std::string());
        entry.checkpoint = memberOr(item, "checkpoint", std::string());
        entry.failures = memberOr(item, "failures", 0);
        entry.evictions = memberOr(item, "evictions", 0);
        entry.failedOn = memberOr(item, "failed_on", std::set<std::string>());
        entry.moves = memberOr(item, "moves", std::uint64_t {0});
        entry.cancelRequested = memberOr(item, "cancel", false);
        entry.result = memberOr(item, "result", std::string());
        entry.reason = memberOr(item, "reason", std::string());
        entry.movedTo = memberOr(item, "moved_to", std::string());
        entry.finishedAt = memberOr(item, "finished_at", std::int64_t {0});
        const TaskPhase phase = entry.phase;
        const std::string name = entry.specification.task;
        table.setPhase(table.m_tasks.emplace(name, std::move(entry)).first->second, phase);
    }
    for (const Json &item : memberOr(document, "claims", Json::array())) {
        const Result<ShardRecord> claimed = parseShardRecord(item);
        const auto answer = item.find("answer");
        if (const auto *record = std::get_if<ShardRecord>(&claimed)) {
            table.apply(*record);
        }
        if (answer != item.end()) {
            const Result<ShardRecord> settled = parseShardRecord(*answer);
            if (const auto *record = std::get_if<ShardRecord>(&settled)) {
                table.apply(*record);
            }
        }
    }
    return table;
}

}
