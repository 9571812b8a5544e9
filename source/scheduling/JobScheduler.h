#pragma once

#include "base/Scheduler.h"
#include "scheduling/BackfillProbe.h"
#include "scheduling/BatchDemandEstimator.h"
#include "scheduling/CrashEvidence.h"
#include "scheduling/ExpectedJobs.h"
#include "scheduling/FailedPlacements.h"
#include "scheduling/LeaseHandover.h"
#include "scheduling/PlacementAdvisor.h"
#include "scheduling/PlacementPacing.h"
#include "scheduling/PoolHeadroom.h"
#include "scheduling/QueuePolicies.h"
#include "scheduling/QueueWorkEstimator.h"
#include "scheduling/ReservedWorkers.h"
#include "scheduling/RestartFate.h"
#include "scheduling/SchedulingPolicies.h"
#include "scheduling/SuspectIsolation.h"
#include "scheduling/TaskDelegation.h"
#include "scheduling/UnplacedTaskSearch.h"
#include "scheduling/WorkerState.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace Wagtail
{

// Receives the events of a JobScheduler. It is implemented by the component that stores the scheduler's state.
class JobSchedulerListener
{
public:
    JobSchedulerListener() = default;
    JobSchedulerListener(const JobSchedulerListener &) = delete;
    JobSchedulerListener &operator=(const JobSchedulerListener &) = delete;
    virtual ~JobSchedulerListener() = default;

    // The progress of the job differs from what the store has.
    virtual void progressChanged(const std::string &job) = 0;

    // A start order is held back until the store has the progress of the job. See JobScheduler::heldStarts().
    virtual void startHeldBack(const std::string &job) = 0;

    // A worker reported run ends that are not recorded in the store yet, even if they changed no job.
    virtual void runEndsReported() = 0;

    // A worker rejected an order because it has seen a higher fencing token, so this leader term is over.
    virtual void tokenRefused(const std::string &worker) = 0;

    // A worker of this partition is proven to have crashed under a task before it was delegated to the other one, which
    // has to know of it. If the task was given back, the partition is empty and stands for the job's home partition.
    virtual void delegatedTaskCrashed(const std::string &job, const std::string &partition) = 0;

    // A task of a job that another partition owns is given up. Only that partition may end the job.
    virtual void delegatedTaskGivenUp(const std::string &job) = 0;

    // Logs a decision with the job, task or worker that it concerns and the inputs that led to it.
    virtual void logDecision(std::string_view event, const std::string &subject, const Json &inputs) = 0;
};

// Time limits of one scheduler.
struct SchedulingLimits
{
    // Duration of each lease on the runs of a worker, at most the longest one that workers accept.
    Milliseconds lease {6'000};
    // The longest lease that workers accept. A worker that has restarted may hold such a one, because lease expiries
    // are on the clock of its former incarnation.
    Milliseconds longestLease {6'000};
    // Minimum time between the moment a worker starts to drain and its exit.
    Milliseconds drain {3'000};
    // Longest time for which a report request may ask the worker to hold back its answer (long polling).
    Milliseconds longestWait {2'000};
};

// The last run end of a worker that has been applied. It is acknowledged to the worker once the store has it.
struct RunEndPosition
{
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;
};

// Tasks that are about to leave for another partition.
struct RelocatedTasks
{
    // Those that may be delegated at once, by job.
    std::map<std::string, std::set<TaskName>> waiting;
    // Those whose runs are being stopped.
    std::set<TaskName> stopping;
};

// A finished job that was removed from the scheduler.
struct RemovedJob
{
    std::string id;
    // Whether another partition owns the job.
    bool ownedElsewhere = false;
};

// Schedules the jobs of one partition on its workers during one leader term. It starts, stops and restarts tasks,
// renews their leases and applies their ends. It stores nothing itself; the listener does. All calls come from the
// control thread.
class JobScheduler
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        WorkerGateway &gateway;
        JobSchedulerListener &listener;
        // Null if no queue needs placement advice.
        PlacementAdvisor *advisor = nullptr;
        SchedulingPolicies policies = {};
    };

    // All orders carry the fencing token. The leader term, counted from 0, keeps run numbers above those of earlier
    // terms.
    JobScheduler(Environment environment, SchedulingLimits limits, FencingToken token, std::uint64_t term);
    ~JobScheduler();
    JobScheduler(const JobScheduler &) = delete;
    JobScheduler &operator=(const JobScheduler &) = delete;

    // Takes the last record of the workers that may run tasks of earlier leader terms. Tasks of these terms whose
    // worker is unknown wait until each of the workers has answered or its leases have expired.
    void beginRecovery(const LeaseHolderRecord &record, const EarlierLeaseBounds &bounds);

    // Notes that the last owner may have granted leases up to the given time, later than its store lease allows.
    void extendEarlierGrants(Instant grantsEndAt);

    // Takes over a job of an earlier leader term with its recorded progress.
    void restore(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall, const Json &progress);

    // Takes over tasks that another partition delegated during an earlier leader term, with their recorded progress.
    void restoreDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
        const Json &progress, const std::vector<DelegatedTask> &tasks);

    // Takes tasks that another partition has newly delegated, and what it has found out about those delegated before.
    void addDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
        const std::vector<DelegatedTask> &tasks);

    // Returns the steps with long-running tasks that other partitions should run. There are none as long as live
    // workers are missing from the platform's list.
    [[nodiscard]] std::vector<UnplacedStep> unplacedLongRunning() const;

    // Delegates up to the given number of waiting tasks of a step to another partition. They must not be sent there
    // before the progress of the job is recorded.
    void delegate(const UnplacedStep &unplaced, const std::string &partition, int count);

    // Delegates the named tasks of one step, as far as they wait, to another partition.
    void delegate(const std::string &id, const std::set<TaskName> &tasks, const std::string &partition);

    // Holds places for tasks of another partition, for as long as they may take to arrive. The given ones get only
    // places that are free now. Returns the tasks that have one.
    std::set<TaskName> holdPlacesFor(const JobSpecification &specification, const QueuePolicy &policy,
        const std::vector<DelegatedTask> &tasks, const std::set<TaskName> &onlyFree);

    // Sets whether tasks of steps that depend on others may be delegated.
    void setDependents(DependentSteps dependents);

    // Returns, of each job that should go on in another partition as a whole, the waiting tasks of one step. Nothing of
    // such a job runs, and it has found no worker here for as long as waiting for one pays.
    [[nodiscard]] std::vector<std::vector<const TaskState *>> jobsToRelocate() const;

    // Begins to hand a job over to another partition, whose progress is then final here. Returns false if it has to
    // stay.
    [[nodiscard]] bool beginDeparture(const std::string &id);

    // Removes a job that another partition has now.
    void endDeparture(const std::string &id);

    // Takes over a job that another partition has handed over, with its progress.
    void receive(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall, const Json &progress);

    // Returns the waiting tasks of a step that may leave the partition.
    [[nodiscard]] std::vector<TaskState *> tasksWithoutPlace(const UnplacedStep &unplaced);

    // Returns the long-running tasks on draining workers for which no place is held.
    [[nodiscard]] std::vector<TaskState *> leavingTasksWithoutPlace();

    // Releases the places that are held for tasks of another partition.
    void releasePlacesFor(const std::set<TaskName> &tasks);

    // Prepares tasks to leave for a partition that holds places for them. Stops those that run.
    RelocatedTasks beginRelocation(const std::string &partition, const std::set<TaskName> &names);

    // Returns the tasks that beginRelocation() has stopped, or that were given back on their way to another partition,
    // and that may leave for it now, by partition.
    [[nodiscard]] std::map<std::string, std::set<TaskName>> stoppedForRelocation();

    // Gives up to the given number of waiting tasks of a step back to the partition that owns the job. Returns them.
    // They must be sent there in the transaction that records the progress of the job.
    std::vector<DelegatedTask> giveBack(const UnplacedStep &unplaced, int count);

    // Gives the named tasks of one step back in the same way, as far as they wait.
    std::vector<DelegatedTask> giveBack(const std::string &id, const std::set<TaskName> &tasks);

    // Makes tasks that the partition has given back wait for workers again. Returns how many tasks do so; a message
    // that has come before changes nothing. If the next partition is not empty, it holds places for the tasks, and
    // stoppedForRelocation() names them.
    int takeBack(const std::string &id, const std::string &partition, const std::vector<DelegatedTask> &tasks,
        const std::string &nextPartition = {});

    // Fails a job because another partition has given up one of the named tasks, which were delegated to it. Returns
    // false if the job has ended or none of them is one of its delegated tasks.
    bool failDelegated(const std::string &id, const std::vector<DelegatedTask> &tasks);

    // Adds a newly accepted job.
    void add(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall);

    // Cancels a job. Returns false if the job is not known.
    bool cancel(const std::string &id);

    void updateWorker(const WorkerListing &listing);
    void removeWorker(const std::string &name);

    // Applies the policies of a configuration, by queue, to the present jobs and to those that come later, unless what
    // is known of a queue is newer. Jobs of queues that are not named keep their policy.
    void updatePolicies(const std::map<std::string, QueuePolicy> &policies);

    // Returns the policy by which a job of the queue is scheduled here if it brings along the given one.
    [[nodiscard]] const QueuePolicy &policyFor(const std::string &queue, const QueuePolicy &given) const;

    // Returns, by queue, the policies of unfinished jobs that are not the ones recorded with the jobs. A later owner
    // may learn of them from nobody else, because the configuration in force may not name the queue any more.
    [[nodiscard]] std::map<std::string, QueuePolicy> unrecordedPolicies() const;

    void setAuthority(SchedulingAuthority authority);

    // Makes the decisions that depend on time. It must be called every TickPeriod.
    void tick();
    static constexpr Milliseconds TickPeriod {100};

    [[nodiscard]] const JobState *find(const std::string &id) const;
    [[nodiscard]] std::vector<std::string> jobIds() const;

    // Returns how many accepted jobs of a queue have not started any task.
    [[nodiscard]] int waitingCount(const std::string &queue) const;

    // Returns, by worker, the last run end that has been applied and not recorded. They are passed to
    // onRunEndsRecorded() once the store has all progress up to now.
    [[nodiscard]] std::map<std::string, RunEndPosition> appliedRunEnds() const;
    void onRunEndsRecorded(const std::map<std::string, RunEndPosition> &positions);

    // Returns the runs whose start orders are held back until the store has the progress of their jobs. They are passed
    // to onStartsRecorded() once the store has all progress up to now.
    [[nodiscard]] std::set<RunName> heldStarts() const;
    void onStartsRecorded(const std::set<RunName> &runs);

    // Tells that the store has the phase of a job, so that callers may see it.
    void phaseRecorded(const std::string &job, JobPhase phase);

    // Removes finished jobs that ended before the given time and returns them. Jobs stay as long as the store lacks
    // their phase or one of their tasks is still assigned to a worker.
    [[nodiscard]] std::vector<RemovedJob> removeFinished(Instant endedBefore);

    // Returns the workers that may hold a lease of this leader term or an earlier one, and those that may get one.
    [[nodiscard]] std::vector<WorkerListing> leaseHolders() const;

    // Returns whether the store needs a new record of the lease holders.
    [[nodiscard]] bool isLeaseRecordDue() const;

    // Begins a record of the lease holders. Workers that it shows as lost get no lease before it is replaced.
    [[nodiscard]] BegunLeaseRecord beginLeaseRecord();

    // Tells that the store has the record of the given number.
    void leaseRecordStored(std::uint64_t number);

    [[nodiscard]] const std::map<std::string, WorkerState> &workers() const;

    // Returns the headroom of the listed workers, by pool.
    [[nodiscard]] PoolHeadrooms headrooms() const;

    // The learned interference between tasks. It is stored and handed over to the owner of the next leader term.
    [[nodiscard]] BackfillInterferenceModel &interferenceModel();

private:
    static constexpr int FullSpeedPercent = 100;
    // A place is held for one task so long at most. It covers a stop whose order has to be repeated, the batch tasks on
    // a worker that takes no new ones, and the way of a task from another partition.
    static constexpr Milliseconds LongestHold {3'000};

    // Jobs
    JobState &insert(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall);
    void createDueOccurrences(JobState &job);
    void openDelegated(
        JobState &job, const Json &progress, const std::vector<DelegatedTask> &tasks, DelegationSource source);
    [[nodiscard]] bool isWorkerListComplete(Instant now) const;
    void assignImageIds(OccurrenceState &occurrence);
    void setPhase(JobState &job, JobPhase phase);
    void finish(JobState &job, JobPhase phase);
    void completeTask(TaskState &task);
    // Completes a task, or all members of its gang, because a run of it has ended as done.
    void completeByRun(TaskState &task, std::uint64_t run, bool isCurrent);
    // Takes the present run, which is no longer needed, off its task and stops it.
    void discardRun(TaskState &task);
    void completeStep(StepState &step);
    // If tasks of the completed step ran under this leader term, no earlier term can have started the steps after it.
    static void markDependentsUnstarted(const StepState &step);
    // Logs where the time of the task that finished last went.
    void logFinishedStep(const StepState &step, const TaskState &last);
    [[nodiscard]] TaskState *findTask(const TaskName &name);

    // Runs
    [[nodiscard]] std::uint64_t nextRun(const StepState &step, const TaskState &task) const;
    void place(TaskState &task, WorkerState &worker, std::uint64_t run, int speedPercent = FullSpeedPercent);
    // Sends the start orders of tasks that were just placed, or holds them back until the store has their open runs.
    void startPlaced(const std::vector<TaskState *> &tasks);
    void sendStart(TaskState &task);
    void onStartAnswer(const RunName &run, const std::string &worker, Instant sentAt, const OrderAnswer &answer);
    // Moves the job to JobPhase::Running when the first of its tasks has started.
    void markJobStarted(JobState &job);
    // Marks the run as running on its worker. Reports that were requested after the given time must list it.
    void markRunning(TaskState &task, Instant answeredAt);
    void onStartRefused(TaskState &task, WorkerState &worker, OrderOutcome outcome);
    void beginStop(TaskState &task);
    // Stops a run whose start the worker may not have carried out, together with the other members of its gang, which
    // would wait for it in vain.
    void withdrawStart(TaskState &task);
    void sendStop(TaskState &task);
    void onStopAnswer(const RunName &run, const std::string &worker, Instant sentAt, const OrderAnswer &answer);
    void stopObsolete(WorkerState &worker, const RunName &run);
    void onObsoleteStopAnswer(
        const std::string &workerName, const RunName &run, Instant sentAt, const OrderAnswer &answer);
    void detach(TaskState &task);
    void requeue(TaskState &task, Milliseconds delay);
    void stopTasks(JobState &job);

    // Workers
    void sampleBatchDemand();
    void logCapacityChange(const WorkerState &worker, const Resources &formerCapacity);
    void requestReport(WorkerState &worker);
    void onReport(const std::string &name, const std::string &address, Instant sentAt,
        const std::variant<RunReport, OrderOutcome> &result);
    void onReportFailed(WorkerState &worker, const std::string &address, OrderOutcome outcome);
    void applyReport(WorkerState &worker, const RunReport &report, Instant sentAt);
    void applyEnd(WorkerState &worker, const EndedTask &ended);
    void applyFailure(TaskState &task, WorkerState &worker, const RunName &run, bool current);
    void applyRunning(WorkerState &worker, const RunningTask &running, Instant sentAt);
    // Makes a run that an earlier leader term started the current run of its task. Returns false if it can't be.
    [[nodiscard]] bool adoptRun(WorkerState &worker, const RunningTask &running, Instant sentAt);
    void requeueMissingRuns(WorkerState &worker, const std::set<RunName> &listed, Instant sentAt);
    void updateProgress(TaskState &task, const RunningTask &running);
    void moveStalledTasks(WorkerState &worker);
    void updateInterference(WorkerState &worker);
    void throttleBackfill(WorkerState &worker);
    void logTimeOverTarget(const TaskState &task);
    // Returns the given speed, or that of a probe if the task has been paused for so long that it works again.
    [[nodiscard]] int speedAfterPause(WorkerState &worker, TaskState &task, int speedPercent);
    // Returns whether a paused task, the only one that its job has on workers, is the next to work there in a trial.
    [[nodiscard]] bool isNextOnTrial(const WorkerState &worker, const TaskState &task) const;
    // Begins a trial on a worker that gets the probe of a starved job and has no headroom for it.
    void beginTrialIfNeeded(WorkerState &worker);
    // Stops a task because of a pause or a low speed, and notes the progress that it loses.
    void stopForPause(TaskState &task);
    // Stops a task whose pause has lasted too long. Returns whether it did.
    bool requeueIfPaused(TaskState &task, int speedPercent);
    void sendThrottle(TaskState &task, int percent);
    // Ends the former incarnation of a worker, and decides what becomes of its tasks.
    void onWorkerRestarted(WorkerState &worker, std::int64_t incarnation, const NextIncarnation &next);
    // Stops the runs that late start orders to a former incarnation of a worker may begin on the present one.
    void stopLateStarts(WorkerState &worker);
    // Returns when a lease that the worker grants now, to whatever run, has surely expired.
    [[nodiscard]] Instant longestLeaseExpiry() const;
    // Applies the worker's clock in the answer to an order, if the known incarnation has answered.
    AnsweringIncarnation observeAnswer(WorkerState &worker, const OrderAnswer &answer, Instant sentAt);
    void expireLeases(WorkerState &worker);
    void retryOrders(WorkerState &worker);
    void recordFailure(WorkerState &worker, const std::string &job);
    [[nodiscard]] WorkerState *findWorker(const std::string &name);
    [[nodiscard]] OrderTarget target(const WorkerState &worker) const;
    // Returns whether the worker may get a lease as far as the stored record and the owner's authority are concerned.
    [[nodiscard]] bool mayGrantLease(const WorkerState &worker) const;
    [[nodiscard]] std::int64_t grantLease(WorkerState &worker);
    [[nodiscard]] BatchDemandEstimator batchDemand(const std::string &pool) const;
    // Returns how many tasks of a step need a place that is not held for them: those that wait, and those on draining
    // workers.
    [[nodiscard]] int countWithoutPlace(const StepState &step) const;

    // Evacuation
    // Releases the places that can't be used or are not needed any more.
    void reviewHeldPlaces();
    // Lets a task of another partition have the place that is held for its arrival, if it has arrived.
    void receiveArrival(WorkerState &worker, const TaskName &name, TaskState *task);
    // Places waiting tasks for which a place is held.
    void placeHeldTasks(const RecoveryHolds &holds);
    void placeHeldTask(TaskState &task, WorkerState &worker);
    // Returns whether the place that is held for the task's next run is free.
    [[nodiscard]] bool isHeldPlaceOpen(const TaskState &task) const;
    // Holds a place for the next run of a task. Returns false if there is none.
    bool holdPlace(TaskState &task, FailedPlacements &failedHolds);
    enum class ArrivalPlace {
        // One that is free now.
        Free,
        // One that batch tasks may still use.
        FreeOrBusy,
    };
    // Holds a place for a task that another partition may send, beside the tasks of the given step that are here.
    // Returns false if there is none.
    bool holdArrivalPlace(const TaskState &task, const StepState &step, ArrivalPlace kind);
    // Returns the worker on which batch tasks are to make room for a long-running task, or null.
    [[nodiscard]] WorkerState *chooseBusy(const StepState &step, const TaskState &task);
    // Moves tasks off all draining workers. A task is stopped when its next place is held for it.
    void evacuateWorkers();
    void evacuate(WorkerState &worker, FailedPlacements &failedHolds);

    // Crashes
    // Whether the task may only be started once the store has the start: a run of it may have crashed its worker
    // without the store knowing of the run, or may go on under a successor of this owner.
    [[nodiscard]] static bool needsOpenRun(const TaskState &task);
    [[nodiscard]] bool mayPlace(const TaskState &task) const;
    void holdStart(TaskState &task);
    // Sends the recorded starts that waited for the worker's answer to an acknowledgement.
    void sendRecordedStarts(const WorkerState &worker);
    [[nodiscard]] bool maySendHeldStart(const TaskState &task);
    // Requeues tasks whose start orders are held back and whose worker takes no tasks any more.
    void withdrawHeldStarts(WorkerState &worker);
    void withdrawHeldStart(TaskState &task);
    // Ends the incarnation of a worker whose address another worker has taken.
    void onWorkerReplaced(WorkerState &worker);
    // Returns the runs that a worker has lost by a crash, which happened by the given time.
    [[nodiscard]] std::vector<CrashEvidence> collectCrashEvidence(
        WorkerState &worker, Instant crashedBy, const std::set<TaskState *> &kept = {});
    void countCrashes(const WorkerState &worker, const std::vector<CrashEvidence> &evidence);
    void giveUp(TaskState &task);
    void logGivenUp(const TaskName &task, const CrashHistory &history);
    // Lets the crashes under a task that was given up count less for the others on the same workers.
    void explainCrashes(const TaskState &cause);
    // Requeues tasks of a worker that is lost. How a crash of it would count is noted until that is known.
    void noteLostRuns(WorkerState &worker, const std::vector<TaskState *> &tasks);
    // Explains the lost runs of a worker by an answer of the given incarnation, which lists these runs.
    void explainLostRuns(WorkerState &worker, std::int64_t incarnation, const std::set<RunName> &listed);
    void forgetLostRuns(WorkerState &worker);
    // Closes a run, if it is open, and lets the store know.
    void closeOpenRun(TaskState &task, std::uint64_t run);
    // Closes the open runs on a worker that starts to drain, whose exit is no crash for a successor either.
    void closeOpenRuns(const WorkerState &worker);
    // Clears a task of suspicion whose run has lived long enough.
    void clearSuspicion(TaskState &task);
    // Asks the workers that may have run tasks of a restored job whether they have crashed.
    void awaitOpenRuns(JobState &job);
    void awaitOpenRuns(TaskState &task);

    // Advice
    [[nodiscard]] bool isPermitted(const StepState &step, const WorkerState &worker) const;
    [[nodiscard]] static std::string ticketFor(const StepState &step, const std::string &worker);
    [[nodiscard]] std::vector<std::string> workersToQuery(const StepState &step) const;
    void queryAdvisor(StepState &step);
    // Returns the step of a job in this partition, and that of a job that is expected here.
    [[nodiscard]] std::vector<StepState *> stepsNamed(const StepName &name);
    void onAdvice(const StepName &name, const std::map<std::string, std::int64_t> &asked, Instant askedAt,
        const std::variant<PlacementAdvice, AdviceFailure> &result);

    // Placement
    void dispatchSoon();
    void beginDispatch();
    void dispatch();
    // Notes that the tasks of a step begin to wait for workers.
    void openStep(StepState &step);
    void placeStep(StepState &step, const RecoveryHolds &holds);
    // Places all members of a gang, or none. Returns whether it did.
    bool placeGang(StepState &step, std::optional<ProbeKind> probe = std::nullopt);
    // Undoes the last placement on a worker, for which no start order was sent.
    void undoPlacement(TaskState &task);
    void recordWaiting(StepState &step);
    void logPlacement(const StepState &step, const std::vector<const TaskState *> &tasks);
    // Notes that a task that must be kept away from others has found no worker.
    void noteIsolationWait(TaskState &task) const;
    [[nodiscard]] IsolationStrictness isolationStrictness(const TaskState &task) const;
    // Whether a task is placed now, so that it needs a valid ticket of the advisor, or only gets a place held.
    enum class PlaceUse {
        Start,
        Hold,
    };
    [[nodiscard]] WorkerState *choose(const StepState &step, const TaskState &task,
        std::optional<ProbeKind> probe = std::nullopt, PlaceUse use = PlaceUse::Start);
    // Starts the task as a probe. Returns false if no worker may take it.
    bool startProbe(TaskState &task, ProbeKind kind);
    void logProbe(const TaskState &task, ProbeKind kind);
    // Starts the task of a starved job as a probe, together with the other members of its gang.
    bool startStarved(TaskState &task);
    // Starts one task of each job as a probe that has waited for too long and has nothing running.
    void placeStarvedJobs(const std::vector<StepState *> &waiting, const RecoveryHolds &holds);
    // Starts tasks of the given steps as probes that have waited for too long.
    void placeProbes(const std::vector<StepState *> &waiting, const RecoveryHolds &holds);
    // Returns how long a ready backfilling task has not worked.
    [[nodiscard]] Milliseconds idleTime(const TaskState &task) const;
    // Notes that the current run of a backfilling task may work.
    void noteWork(TaskState &task) const;
    [[nodiscard]] std::string preferredRack(const StepState &step) const;
    [[nodiscard]] RecoveryStage recoveryStage() const;
    [[nodiscard]] RecoveryHolds recoveryHolds() const;
    // Ends the recovery when no task has to wait for it any longer. Until then, logs at intervals what it waits for.
    void reviewRecovery();
    [[nodiscard]] int heldTaskCount() const;
    // Returns how many waiting tasks of a step may be placed. During a recovery, tasks with unknown runs may not.
    [[nodiscard]] static int readyCount(const StepState &step, const RecoveryHolds &holds);

    // Returns whether the authority is up to date. It may have run out while the process was held up.
    [[nodiscard]] bool isAuthorityCurrent() const;

    // Returns whether a worker is no longer listed and can't run any task of this leader term any more.
    [[nodiscard]] bool isRemovable(const WorkerState &worker) const;

    Environment m_environment;
    SchedulingLimits m_limits;
    FencingToken m_token;
    std::uint64_t m_firstRunNumber;
    SchedulingAuthority m_authority = SchedulingAuthority::Full;
    // When the authority was last known to be up to date.
    Instant m_authorityReviewedAt;
    bool m_dispatchPosted = false;
    PlacementPacing m_pacing;
    // Whether draining workers are evacuated in the next round of placement.
    bool m_evacuationDue = false;
    // Whether a query to the advisor is open. The advisor handles one at a time.
    bool m_advicePending = false;
    Instant m_nextAdviceAt;
    DependentSteps m_dependents = DependentSteps::Stay;
    ExpectedJobs m_expectedJobs;
    ReservedWorkers m_reservedWorkers;
    FailedPlacements m_failedPlacements;
    Instant m_startedAt;
    LeaseHandover m_leaseHandover;
    Instant m_recoveryLoggedAt;
    std::set<RunName> m_heldStarts;
    std::unordered_map<std::string, std::unique_ptr<JobState>> m_jobs;
    // Jobs that are not finished, in the order in which they were added.
    std::vector<JobState *> m_unfinishedJobs;
    std::map<std::string, WorkerState> m_workers;
    // By name of the pool.
    std::map<std::string, BatchDemandEstimator> m_batchDemand;
    BackfillInterferenceModel m_interference;
    QueueWorkEstimator m_queueWork;
    QueuePolicies m_policies;
    // Expires together with the scheduler, so that handlers of late answers do nothing.
    std::shared_ptr<JobScheduler *> m_self;
};

}
