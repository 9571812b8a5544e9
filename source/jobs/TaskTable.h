#pragma once

#include "jobs/ShardRecords.h"

#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// A task as the log has it.
struct TaskEntry
{
    TaskSpecification specification;
    TaskPhase phase = TaskPhase::Waiting;
    // The number of the present attempt, or of the last one.
    std::uint64_t attempt = 0;
    std::string worker;
    std::string incarnation;
    std::string checkpoint;
    int failures = 0;
    int evictions = 0;
    std::set<std::string> failedOn;
    std::uint64_t moves = 0;
    bool cancelRequested = false;
    std::string result;
    std::string reason;
    std::string movedTo;
    std::int64_t finishedAt = 0;
};

// A claimed key. It is settled once an outcome is recorded.
struct ClaimEntry
{
    std::uint64_t digest = 0;
    std::int64_t claimedAt = 0;
    bool settled = false;
    KeyOutcomeRecorded answer;
};

// The state that a partition's log describes. Applying the same records in order always gives the same state.
class TaskTable
{
public:
    // Applies one record. Records that do not fit the state, such as a repeated one, are ignored and return false.
    bool apply(const ShardRecord &record);

    [[nodiscard]] const TaskEntry *find(const std::string &task) const;
    [[nodiscard]] const std::map<std::string, TaskEntry> &tasks() const;

    // Returns the names of the tasks that wait for an assignment or are moving.
    [[nodiscard]] const std::set<std::string> &unassigned() const;
    [[nodiscard]] const ClaimEntry *findClaim(const std::string &key) const;
    [[nodiscard]] std::size_t claimCount() const;

    // Returns whether an offered task is new here: it is not known, or it left and comes back by a later move.
    [[nodiscard]] bool isNew(const TaskAccepted &offer) const;

    // Forgets the tasks that ended before the given wall time, then the oldest beyond the given number.
    void forgetTasks(std::int64_t endedBefore, std::size_t most);

    // Forgets the claims made before the given wall time.
    void forgetClaims(std::int64_t claimedBefore);

    // Returns the highest token that has taken the log over.
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
    bool settle(const KeyOutcomeRecorded &record);

    FencingToken m_token = 0;
    void setPhase(TaskEntry &entry, TaskPhase phase);

    std::map<std::string, TaskEntry> m_tasks;
    std::set<std::string> m_unassigned;
    std::map<std::string, ClaimEntry> m_claims;
};

}
