#pragma once

#include "jobs/PartitionLogRecords.h"

#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// The state of a task according to the log.
struct TaskEntry
{
    TaskSpecification specification;
    TaskPhase phase = TaskPhase::Waiting;
    // The number of the current attempt, or of the last one when none is assigned.
    std::uint64_t attempt = 0;
    std::string worker;
    std::string incarnation;
    std::string checkpoint;
    int failures = 0;
    int evictions = 0;
    // Workers on which an attempt failed; placement avoids them where others are free.
    std::set<std::string> failedOn;
    std::uint64_t moves = 0;
    bool cancelRequested = false;
    std::string result;
    std::string reason;
    std::string movedTo;
    std::int64_t finishedAt = 0;
};

// A claimed idempotency key. The outcome of its request is recorded later.
struct ClaimEntry
{
    std::uint64_t digest = 0;
    std::int64_t claimedAt = 0;
    bool hasOutcome = false;
    KeyOutcomeRecorded answer;
};

// The state of a partition, built by applying the records of its log. It depends on the records and their order only.
class TaskTable
{
public:
    // Applies one record. Returns false, and changes nothing, if the record does not fit the state, for instance
    // because it is a duplicate.
    bool apply(const PartitionLogRecord &record);

    [[nodiscard]] const TaskEntry *find(const std::string &task) const;
    [[nodiscard]] const std::map<std::string, TaskEntry> &tasks() const;

    // Returns the names of the tasks in the phases Waiting and Moving.
    [[nodiscard]] const std::set<std::string> &unassigned() const;
    [[nodiscard]] const ClaimEntry *findClaim(const std::string &key) const;
    [[nodiscard]] std::size_t claimCount() const;

    // Returns whether the table would accept the task: it is unknown, or it moved away and returns with a later move.
    [[nodiscard]] bool isNew(const TaskAccepted &offer) const;

    // Removes the tasks that ended before the given wall time, then the oldest ended tasks beyond the maximum count.
    void forgetTasks(std::int64_t endedBefore, std::size_t maximumCount);

    // Removes the claims made before the given wall time.
    void forgetClaims(std::int64_t claimedBefore);

    // Returns the highest fencing token that the log records.
    [[nodiscard]] FencingToken token() const;

    [[nodiscard]] Json snapshot() const;
    [[nodiscard]] static TaskTable parse(const Json &document);

private:
    bool accept(const TaskAccepted &record);
    bool assign(const TaskAssigned &record);
    bool release(const TaskReleased &record);
    bool finish(const TaskFinished &record);
    bool requestCancel(const TaskCancelRequested &record);
    bool startMove(const TaskMoveStarted &record);
    bool endMove(const TaskMoveEnded &record);
    bool claim(const KeyClaimed &record);
    bool recordOutcome(const KeyOutcomeRecorded &record);

    FencingToken m_token = 0;
    void setPhase(TaskEntry &entry, TaskPhase phase);

    std::map<std::string, TaskEntry> m_tasks;
    std::set<std::string> m_unassigned;
    std::map<std::string, ClaimEntry> m_claims;
};

}
