#pragma once

#include "scheduling/BackfillInterferenceModel.h"
#include "scheduling/JobSpecification.h"
#include "scheduling/QueuePolicy.h"
#include "scheduling/TaskName.h"

#include <deque>
#include <map>
#include <set>

namespace Wagtail
{

enum class RunPhase {
    // Looks for a worker.
    Waiting,
    // A start was sent and its answer is not definite yet.
    Starting,
    Running,
    // A stop was sent and the end is not certain yet.
    Stopping,
    Done,
    // Another partition runs it.
    Delegated,
};

enum class JobPhase {
    Pending,
    Running,
    Done,
    Failed,
    Cancelled,
};

[[nodiscard]] std::string_view nameOf(JobPhase phase);

// Returns the phase with the given stable name; Pending when there is none.
[[nodiscard]] JobPhase jobPhaseFromName(std::string_view name);

struct StepState;
struct OccurrenceState;
struct JobState;

// One task and its present run.
struct TaskState
{
    StepState *step = nullptr;
    int index = 0;
    RunPhase phase = RunPhase::Waiting;
    // The number of the present run, or of the last one.
    std::uint64_t run = 0;
    // The number of the last run in the partition that delegated the task here; runs here are numbered above it.
    std::uint64_t delegatedRun = 0;
    // The worker of the present run, or empty.
    std::string worker;
    // The runs that failed. After a take-over ends are listed again and in any order, so that counting is not enough.
    std::set<std::uint64_t> failedRuns;
    std::string checkpoint;
    // The workers on which the task failed or stood still.
    std::set<std::string> avoided;
    // Whether an order of the present run went unanswered, so that it may still be carried out.
    bool uncertain = false;
    // Whether the order to start or stop waits for its answer.
    bool orderOpen = false;
    Instant lastOrderSent;
    Instant lastOrderAnswered;
    int percent = 0;
    Instant progressedAt;
    std::int64_t usage = 0;
    int pacePercent = 100;
    // Of a serving task: its load at the last report, and since when its tail is over its target.
    double load = 0.0;
    std::optional<Instant> overSince;
    // Of a backfilling task: since when it is slowed down below half of its speed.
    std::optional<Instant> slowedSince;
    Instant notBefore;
    // The partition that the task is delegated to, where this one has delegated it.
    std::string delegatedTo;
};

// What the placement advisor said of one worker.
struct PlacementPermission
{
    std::int64_t incarnation = 0;
    // Empty where the worker may not run the step; that does not change during its life.
    std::string ticket;
    Instant validUntil;
};

struct StepState
{
    OccurrenceState *occurrence = nullptr;
    int number = 0;
    // The number that the scheduler's model of disturbance gives to the step's image.
    ImageId image = 0;
    std::vector<TaskState> tasks;
    int doneCount = 0;
    int waitingCount = 0;
    // Since when tasks of the step have found no worker, or since the last line of the log about it.
    std::optional<Instant> waitingSince;
    // Since when any task of the step has waited.
    std::optional<Instant> unplacedSince;
    // The highest run number that any member of the step used; gang members share one.
    std::uint64_t highestRun = 0;
    // By worker; only for queues with a placement advisor.
    std::map<std::string, PlacementPermission> permissions;

    [[nodiscard]] const StepSpecification &specification() const;
};

// One run through all steps of a job.
struct OccurrenceState
{
    JobState *job = nullptr;
    std::int64_t number = 0;
    std::deque<StepState> steps;
    int stepsDone = 0;

    // Returns whether all steps that the given one depends on are done.
    [[nodiscard]] bool isEligible(const StepState &step) const;
};

struct JobState
{
    JobSpecification specification;
    QueuePolicy policy;
    // Wall time of the acceptance in milliseconds.
    std::int64_t acceptedWall = 0;
    Instant acceptedAt;
    // What is true now, and what the store has recorded and may be shown to callers.
    JobPhase phase = JobPhase::Pending;
    JobPhase recordedPhase = JobPhase::Pending;
    bool everStarted = false;
    // Whether the job was accepted under an earlier tenure, so that unknown runs of it may exist.
    bool inherited = false;
    // Whether the job lives in another partition, which delegated some of its tasks to this one.
    bool ownedElsewhere = false;
    std::map<std::int64_t, OccurrenceState> occurrences;
    // The next occurrence to be created, and the finished ones.
    std::int64_t nextOccurrence = 0;
    std::int64_t finishedOccurrences = 0;
    Instant finishedAt;

    [[nodiscard]] bool isFinished() const;
    [[nodiscard]] TaskState *find(const TaskName &name);

    // Returns the partitions that run some of the job's tasks instead of this one.
    [[nodiscard]] std::set<std::string> delegates() const;

    // Remembered of a finished job, whose tasks are no longer kept.
    std::set<std::string> formerDelegates;
};

// A task that one partition has another one run.
struct DelegatedTask
{
    TaskName task;
    // The number of its last run in the partition that delegates it.
    std::uint64_t lastRun = 0;

    bool operator==(const DelegatedTask &) const = default;
};

// Returns the full name of a task.
[[nodiscard]] TaskName nameOf(const TaskState &task);

// Creates an occurrence with all its tasks waiting. The job must stay where it is in memory.
OccurrenceState &createOccurrence(JobState &job, std::int64_t number);

// Makes the named tasks of a guest wait for workers of this partition. Tasks that do so already stay as they are.
void takeDelegated(JobState &job, const std::vector<DelegatedTask> &tasks);

// Leaves all tasks of a guest to other partitions, to begin with.
void leaveToOthers(JobState &job);

// Writes what must outlive the scheduler: the phase, finished tasks, failures and checkpoints.
[[nodiscard]] Json describeProgress(const JobState &job);

// Applies what describeProgress() wrote to a job without occurrences.
void restoreProgress(JobState &job, const Json &document);

}
