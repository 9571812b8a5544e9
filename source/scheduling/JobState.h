#pragma once

#include "scheduling/BackfillInterferenceModel.h"
#include "scheduling/CrashHistory.h"
#include "scheduling/JobSpecification.h"
#include "scheduling/QueuePolicy.h"
#include "scheduling/TaskName.h"
#include "scheduling/TaskTimes.h"

#include <deque>
#include <map>
#include <set>

namespace Wagtail
{

enum class RunPhase {
    // The task has no worker yet.
    Waiting,
    // A start order was sent, and it is not certain yet whether the worker runs the task.
    Starting,
    Running,
    // A stop order was sent, and it is not certain yet that the run has ended.
    Stopping,
    Done,
    // Another partition runs the task.
    Delegated,
};

enum class JobPhase {
    Pending,
    Running,
    Done,
    Failed,
    Cancelled,
};

[[nodiscard]] std::string_view nameOf(RunPhase phase);
[[nodiscard]] std::string_view nameOf(JobPhase phase);

// Returns the phase with the given stable name, or Pending if there is none.
[[nodiscard]] JobPhase jobPhaseFromName(std::string_view name);

struct StepState;
struct OccurrenceState;
struct JobState;

// A run whose progress is below this percentage is cheap to restart elsewhere.
inline constexpr int CheapRestartPercent = 40;

// One task and its current run.
struct TaskState
{
    StepState *step = nullptr;
    int index = 0;
    RunPhase phase = RunPhase::Waiting;
    // Number of the current run, or of the last one.
    std::uint64_t run = 0;
    // Whether this leader term has started a run of the task, or no earlier term can have started one since the run
    // that this term has adopted. Then the task runs nowhere but on its worker.
    bool isPlaceKnown = false;
    // Number of the last run in the partition that delegated the task to this one or gave it back. Runs here get higher
    // numbers.
    std::uint64_t lastRunElsewhere = 0;
    // The number that this partition gave its last run of the task when it gave the task back, or 0. Only a delegation
    // that names it or a higher one is newer.
    std::uint64_t returnedRun = 0;
    // Worker of the current run, or empty.
    std::string worker;
    // The worker on which a place is held for the next run, or empty.
    std::string nextWorker;
    // The partition that holds a place for the next run, and until when, if the run is being stopped for it.
    std::string nextPartition;
    Instant nextPartitionUntil;
    // Numbers of the failed runs. After a take-over, run ends are reported again and in any order, so a mere count
    // would be wrong.
    std::set<std::uint64_t> failedRuns;
    // Runs under which workers crashed, and runs whose end is not known.
    CrashHistory crashes;
    // When the task was last placed on a worker.
    Instant placedAt;
    // A run that lived so long, or ended by itself, that crashes up to it count no more, or 0.
    std::uint64_t clearedRun = 0;
    // When the first start order of the current run was sent, or when the run was adopted.
    std::optional<Instant> runStartedAt;
    // Whether a worker has confirmed that it runs the current run or did so.
    bool runConfirmed = false;
    // Whether the current run began under an earlier leader term.
    bool runAdopted = false;
    // Whether the start order of the current run is held back until the store has its open run.
    bool awaitsRecording = false;
    // Whether an earlier run may have crashed its worker without having been counted.
    bool endUnknown = false;
    // Whether the last run was given up because its leases had expired by the account of this term. A successor may
    // have renewed them, so the next start is held back until the store has it, which shows that there is no successor.
    bool mayHaveBeenRenewed = false;
    // Since when the task has found no worker, if it must be kept away from other tasks.
    std::optional<Instant> isolatedSince;
    std::string checkpoint;
    // When this leader term was told of the checkpoint.
    Instant checkpointAt;
    // Workers on which the task failed or stalled.
    std::set<std::string> avoidedWorkers;
    // Whether an order of the current run went unanswered, so that the worker may still carry it out.
    bool deliveryUncertain = false;
    // Whether an incarnation of the worker has accepted the current run whose reports have not arrived yet.
    bool isWithNextIncarnation = false;
    // Whether an order to start or stop the run waits for its answer.
    bool orderPending = false;
    Instant lastOrderSent;
    Instant lastOrderAnswered;
    // Progress of the current run, and when the report that showed it was requested.
    int percent = 0;
    Instant progressRequestedAt;
    Instant progressedAt;
    // See RunningTask::usage.
    std::int64_t usage = 0;
    // For backfilling tasks, the share of its speed at which the run may work. Negative if the worker did not confirm
    // the last change.
    int speedPercent = 100;
    // When the run was given that speed.
    Instant speedSetAt;
    // For serving tasks, the load at the last report, and since when the tail latency has been over its target.
    double load = 0.0;
    std::optional<Instant> overTargetSince;
    // Whether it would be within its target without the backfilling tasks, by the interference model.
    bool overTargetByBackfill = false;
    // See ServingSample::isNearLimitByItself.
    bool isNearLimitByItself = false;
    // For backfilling tasks, whether the run started at a reduced speed and has not reached its full one yet.
    bool isProbe = false;
    // For backfilling tasks that are ready, since when the task has not worked. A run counts as work only when it has
    // lasted for a while.
    std::optional<Instant> idleSince;
    // For backfilling tasks, since when the run has been paused.
    std::optional<Instant> pausedSince;
    // For backfilling tasks without checkpoints, the progress that was lost with runs that were stopped for a pause or
    // a low speed, in percent of the task's work. It may exceed 100.
    int lostPercent = 0;
    // For backfilling tasks, since when the run has been throttled to a speed at which moving it is considered.
    std::optional<Instant> slowedSince;
    // The task is not placed before this time.
    Instant notBefore;
    // Where the time of the task went under this leader term.
    TaskTimes times;
    // How often the task has been placed under this leader term.
    int placements = 0;
    // The partition to which this one delegated the task, or empty.
    std::string delegatedTo;
};

// The placement advisor's answer about one worker.
struct PlacementPermission
{
    std::int64_t incarnation = 0;
    // Empty if the worker may not run the step. That does not change during this incarnation of the worker.
    std::string ticket;
    Instant validUntil;
};

// One step of an occurrence and the state of its tasks.
struct StepState
{
    OccurrenceState *occurrence = nullptr;
    // Index of the step in the job's specification.
    int number = 0;
    // Id of the step's image in the scheduler's interference model.
    ImageId image = 0;
    std::vector<TaskState> tasks;
    int doneCount = 0;
    int waitingCount = 0;
    // Whether all steps that this one depends on are done, so that its tasks have begun to wait for workers.
    bool hasOpened = false;
    // When the step was last logged as waiting for workers, or began to wait. Cleared when no task waits.
    std::optional<Instant> lastWaitLogAt;
    // Since when at least one task of the step has been waiting.
    std::optional<Instant> unplacedSince;
    // The highest run number of any task of the step. The members of a gang share one run number.
    std::uint64_t highestRun = 0;
    // Answers of the placement advisor by worker. Only used for queues that need its advice.
    std::map<std::string, PlacementPermission> permissions;

    [[nodiscard]] const StepSpecification &specification() const;
};

// One execution of all steps of a job.
struct OccurrenceState
{
    JobState *job = nullptr;
    std::int64_t number = 0;
    std::deque<StepState> steps;
    int stepsDone = 0;

    // Returns whether all steps that the given one depends on are done. Another partition delegates only tasks of such
    // steps.
    [[nodiscard]] bool isEligible(const StepState &step) const;
};

// One job and its progress.
struct JobState
{
    JobSpecification specification;
    // The policy in force, and the one that the store has recorded with the job.
    QueuePolicy policy;
    QueuePolicy recordedPolicy;
    // Wall time of the acceptance in milliseconds.
    std::int64_t acceptedWall = 0;
    Instant acceptedAt;
    // What the job is worth beside others of its queue. See QueueWorkEstimator::addJob().
    double value = 1.0;
    // The current phase, and the phase that the store has recorded, which is the one that callers may see.
    JobPhase phase = JobPhase::Pending;
    JobPhase recordedPhase = JobPhase::Pending;
    // Whether any task of the job has ever started.
    bool hasStarted = false;
    // Whether the job was accepted under an earlier leader term, so that runs may exist that this owner doesn't know.
    bool fromEarlierTerm = false;
    // Whether another partition owns the job and delegated some of its tasks to this one.
    bool ownedElsewhere = false;
    // Whether the job is being handed over to another partition as a whole. Nothing of it is started meanwhile.
    bool isDeparting = false;
    std::map<std::int64_t, OccurrenceState> occurrences;
    // Number of the next occurrence to create, and how many have finished.
    std::int64_t nextOccurrence = 0;
    std::int64_t finishedOccurrences = 0;
    Instant finishedAt;

    [[nodiscard]] bool isFinished() const;
    [[nodiscard]] TaskState *find(const TaskName &name);

    // Returns the partitions to which tasks of the job are or were delegated.
    [[nodiscard]] std::set<std::string> delegates() const;

    // Partitions that have given back tasks of the job and still know it. For a finished job, whose tasks are no longer
    // kept, the result of delegates() as the store has it.
    std::set<std::string> formerDelegates;
};

// Returns the full name of a task.
[[nodiscard]] TaskName nameOf(const TaskState &task);

// Returns whether a run of the task that an earlier leader term started may exist without this term knowing its worker.
[[nodiscard]] bool mayRunUnknown(const TaskState &task);

// Creates an occurrence whose tasks all wait for workers. The occurrence points to the job, which must not move in
// memory afterwards.
OccurrenceState &createOccurrence(JobState &job, std::int64_t number);

// Returns the progress that must survive a take-over: the phase, finished tasks, failed runs, crashes and open runs,
// checkpoints and delegations.
[[nodiscard]] Json describeProgress(const JobState &job);

// Applies the document that describeProgress() returned to a job that has no occurrences yet.
void restoreProgress(JobState &job, const Json &document);

// Adds only the crash histories and returned runs of that document, to a job whose occurrences exist already.
void restoreDelegatedProgress(JobState &job, const Json &document);

}
