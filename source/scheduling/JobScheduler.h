#pragma once

#include "base/Scheduler.h"
#include "scheduling/FailedPlacements.h"
#include "scheduling/PassingDemand.h"
#include "scheduling/PlacementAdvisor.h"
#include "scheduling/PoolHeadroom.h"
#include "scheduling/WorkerState.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace Wagtail
{

// What the scheduler tells the owner of its state.
class JobSchedulerListener
{
public:
    JobSchedulerListener() = default;
    JobSchedulerListener(const JobSchedulerListener &) = delete;
    JobSchedulerListener &operator=(const JobSchedulerListener &) = delete;
    virtual ~JobSchedulerListener() = default;

    // The job's progress differs from what the store has.
    virtual void progressChanged(const std::string &job) = 0;

    // Ends were listed that wait to be recorded, even if they changed no job.
    virtual void runEndsReported() = 0;

    // The set of workers that may hold a lease has changed.
    virtual void leaseHoldersChanged() = 0;

    // A worker refused an order because it has seen a higher token: the tenure is over.
    virtual void tokenRefused(const std::string &worker) = 0;

    // A decision for the log, with the task or worker that it is about and what decided it.
    virtual void logDecision(std::string_view what, const std::string &subject, const Json &inputs) = 0;
};

// Limits of one scheduler; all durations in milliseconds.
struct SchedulingLimits
{
    // How long each lease on a worker's runs lasts; the platform's longest lease.
    Milliseconds lease {6'000};
    // How long a draining worker goes on at least.
    Milliseconds drain {3'000};
    // The longest wait that a worker takes in a report request.
    Milliseconds longestWait {2'000};
};

// The last end of a worker that has been applied, to be acknowledged once it is recorded.
struct RunEndPosition
{
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;
};

// A step with lasting tasks that find no worker.
struct UnplacedStep
{
    std::string job;
    int step = 0;
    int waiting = 0;
};

struct RemovedJob
{
    std::string id;
    // Whether the job lives in another partition.
    bool ownedElsewhere = false;
};

// What the owner of a partition may tell its workers.
enum class SchedulingAuthority {
    // Starts tasks and prolongs their leases.
    Full,
    // Keeps running tasks alive, until a successor takes over.
    KeepRunning,
    // Prolongs nothing: somebody else may be the owner, who counts on the leases to run out.
    Observe,
};

[[nodiscard]] std::string_view nameOf(SchedulingAuthority authority);

// Schedules the jobs of one partition on its workers under one tenure. It starts, renews, stops and restarts tasks
// and counts their ends; it keeps nothing itself. All calls come from the control thread.
class JobScheduler
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        WorkerGateway &gateway;
        JobSchedulerListener &listener;
        // Null where no queue needs one.
        PlacementAdvisor *advisor = nullptr;
    };

    // The token fences all orders; the tenure, counted from 0, keeps run numbers above those of earlier tenures.
    JobScheduler(Environment environment, SchedulingLimits limits, FencingToken token, std::uint64_t tenure);
    ~JobScheduler();
    JobScheduler(const JobScheduler &) = delete;
    JobScheduler &operator=(const JobScheduler &) = delete;

    // Names the workers that may run tasks of an earlier tenure. Inherited tasks whose place is unknown wait until each
    // of them has answered or the time is over.
    void beginRecovery(const std::vector<WorkerListing> &workers, Instant leasesOverAt);

    // Takes over a job with its recorded progress.
    void restore(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall, const Json &progress);

    // Takes over the tasks of a job of another partition, with what this one has recorded of it.
    void restoreDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
        const Json &progress, const std::vector<DelegatedTask> &tasks);

    // Takes tasks that another partition has newly delegated.
    void addDelegated(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall,
        const std::vector<DelegatedTask> &tasks);

    // Returns the steps with lasting tasks that have waited for longer than the given time without a worker that could
    // take one.
    [[nodiscard]] std::vector<UnplacedStep> unplacedLongRunning(Milliseconds longerThan) const;

    // Leaves up to so many waiting tasks of a step to another partition. Returns all tasks of the job that are left to
    // that partition. The other partition must not hear of them before the job's progress is recorded.
    [[nodiscard]] std::vector<DelegatedTask> delegate(
        const UnplacedStep &unplaced, const std::string &partition, int count);

    // Takes a newly accepted job.
    void add(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall);

    // Cancels a job. Returns whether it is known.
    bool cancel(const std::string &id);

    void updateWorker(const WorkerListing &listing);
    void removeWorker(const std::string &name);

    // Takes the policies in force. Jobs of queues that are not named keep what they have.
    void updatePolicies(const std::map<std::string, QueuePolicy> &policies);

    void setAuthority(SchedulingAuthority authority);

    // Lets time-driven decisions happen. Call it every TickPeriod.
    void tick();
    static constexpr Milliseconds TickPeriod {100};

    [[nodiscard]] const JobState *find(const std::string &id) const;
    [[nodiscard]] std::vector<std::string> jobIds() const;

    // Returns how many accepted jobs of a queue have not started any task.
    [[nodiscard]] int waitingCount(const std::string &queue) const;

    // Returns the ends applied so far; hand them to onRunEndsRecorded() when the store has all progress up to now.
    [[nodiscard]] std::map<std::string, RunEndPosition> appliedRunEnds() const;
    void onRunEndsRecorded(const std::map<std::string, RunEndPosition> &marks);

    // Says that the store has the phase of a job, so that callers may see it.
    void phaseRecorded(const std::string &job, JobPhase phase);

    // Forgets finished jobs that ended before the given time and returns them.
    [[nodiscard]] std::vector<RemovedJob> removeFinished(Instant endedBefore);

    // Returns the workers that may hold a lease from this tenure or an earlier one.
    [[nodiscard]] std::vector<WorkerListing> leaseHolders() const;

    [[nodiscard]] const std::map<std::string, WorkerState> &workers() const;

    // Returns what the listed workers can take, by pool.
    [[nodiscard]] PoolHeadrooms headrooms() const;

    // What is known of how tasks disturb each other; a successor goes on from it.
    [[nodiscard]] BackfillInterferenceModel &interferenceModel();

private:
    // A run that has got less far than this, in percent, is cheap to begin again.
    static constexpr int CheapPercent = 40;
    // A worker that left this many report requests unanswered counts as unreachable.
    static constexpr int UnansweredBeforeNotice = 3;

    // Jobs
    JobState &insert(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall);
    void createDueOccurrences(JobState &job);
    void openGuest(JobState &job, const std::vector<DelegatedTask> &tasks);
    void numberImages(OccurrenceState &occurrence);
    void setPhase(JobState &job, JobPhase phase);
    void finish(JobState &job, JobPhase phase);
    void completeTask(TaskState &task);
    void completeStep(StepState &step);
    [[nodiscard]] TaskState *findTask(const TaskName &name);

    // Runs
    [[nodiscard]] std::uint64_t nextRun(const StepState &step, const TaskState &task) const;
    void place(TaskState &task, WorkerState &worker, std::uint64_t run);
    void sendStart(TaskState &task);
    void onStartAnswer(const RunName &run, const std::string &worker, Instant sentAt, const OrderAnswer &answer);
    // Counts the job among those of which a task has begun.
    void noteStarted(JobState &job);
    // Notes that the worker has the run; its reports that were asked for after the given time must list it.
    void markRunning(TaskState &task, Instant answeredAt);
    void onStartRefused(TaskState &task, WorkerState &worker, OrderOutcome outcome);
    void beginStop(TaskState &task);
    void sendStop(TaskState &task);
    void onStopAnswer(const RunName &run, const std::string &worker, Instant sentAt, const OrderAnswer &answer);
    void stopStray(WorkerState &worker, const RunName &run);
    void detach(TaskState &task);
    void release(TaskState &task, Milliseconds delay);
    void stopTasks(JobState &job);

    // Workers
    void observePassingWork();
    void contact(WorkerState &worker);
    void onReport(const std::string &name, Instant sentAt, const std::variant<RunReport, OrderOutcome> &result);
    void onReportFailed(WorkerState &worker, OrderOutcome outcome);
    void applyReport(WorkerState &worker, const RunReport &report, Instant sentAt);
    void applyEnd(WorkerState &worker, const EndedTask &ended);
    void applyFailure(TaskState &task, WorkerState &worker, const RunName &run, bool current);
    void applyRunning(WorkerState &worker, const RunningTask &running, Instant sentAt);
    [[nodiscard]] bool adopt(WorkerState &worker, const RunningTask &running, Instant sentAt);
    void settleMissing(WorkerState &worker, const std::set<RunName> &listed, Instant sentAt);
    void noteProgress(TaskState &task, const RunningTask &running);
    void moveStalledTasks(WorkerState &worker);
    void evacuate(WorkerState &worker);
    [[nodiscard]] static bool isStepDisturbed(const StepState &step);
    void readPressure(WorkerState &worker);
    void controlPace(WorkerState &worker);
    void sendPace(TaskState &task, int percent);
    void workerRestarted(WorkerState &worker, std::int64_t incarnation);
    void expireLeases(WorkerState &worker);
    void retryOrders(WorkerState &worker);
    void noteFailure(WorkerState &worker, const std::string &job);
    [[nodiscard]] WorkerState *findWorker(const std::string &name);
    [[nodiscard]] OrderTarget target(const WorkerState &worker) const;
    [[nodiscard]] std::int64_t grantLease(WorkerState &worker);
    [[nodiscard]] PassingDemand passingDemand(const std::string &pool) const;

    // Advice
    [[nodiscard]] bool mayRun(const StepState &step, const WorkerState &worker) const;
    [[nodiscard]] static std::string ticketFor(const StepState &step, const std::string &worker);
    [[nodiscard]] std::vector<std::string> workersToAskFor(const StepState &step) const;
    void askAdvisor(StepState &step);
    void onAdvice(const StepName &name, const std::map<std::string, std::int64_t> &asked, Instant askedAt,
        const std::variant<PlacementAdvice, AdviceFailure> &result);

    // Placement
    void dispatchSoon();
    void dispatch();
    void placeStep(StepState &step);
    void placeGang(StepState &step);
    void reserveFor(const StepState &step);
    void noteWaiting(StepState &step);
    void notePlaced(const StepState &step, const std::vector<const TaskState *> &tasks);
    [[nodiscard]] WorkerState *choose(const StepState &step, const TaskState &task);
    [[nodiscard]] std::string preferredRack(const StepState &step) const;
    [[nodiscard]] bool isRecovering() const;

    // Returns whether a worker is out of the platform's list and can't run anything of this tenure any more.
    [[nodiscard]] bool isGone(const WorkerState &worker) const;

    Environment m_environment;
    SchedulingLimits m_limits;
    FencingToken m_token;
    std::uint64_t m_firstRun;
    SchedulingAuthority m_authority = SchedulingAuthority::Full;
    bool m_dispatchPosted = false;
    // The advisor handles one call at a time.
    bool m_adviceOpen = false;
    Instant m_nextAdvice;
    // Workers that are kept free of other work until waiting lasting tasks fit; chosen anew by each dispatch.
    std::set<std::string> m_reserved;
    FailedPlacements m_failedPlacements;
    Instant m_beganAt;
    Instant m_recoveringUntil;
    std::set<std::string> m_inheritedWorkers;
    std::unordered_map<std::string, std::unique_ptr<JobState>> m_jobs;
    // Jobs that are not finished, in the order of acceptance.
    std::vector<JobState *> m_open;
    std::map<std::string, WorkerState> m_workers;
    // By pool.
    std::map<std::string, PassingDemand> m_passing;
    BackfillInterferenceModel m_pressure;
    // Ends when the scheduler does, so that late answers find nothing.
    std::shared_ptr<JobScheduler *> m_self;
};

}
