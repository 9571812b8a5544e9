#include "scheduling/JobScheduler.h"

#include "scheduling/JobRank.h"
#include "scheduling/PlacementSurvey.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Tasks that a take-over holds back are logged this often.
constexpr Milliseconds RecoveryLogInterval {1'000};
// If no tick comes for this long, the process was held up. This is less than the owner's lease, by which a successor's
// bound on earlier leases exceeds the length of a lease.
constexpr Milliseconds LongestTickDelay {1'000};
// Number of run numbers in one leader term. No task is expected to need that many starts within a term.
constexpr std::uint64_t RunsPerTerm = 100'000;

}

JobScheduler::JobScheduler(Environment environment, SchedulingLimits limits, FencingToken token, std::uint64_t term)
    : m_environment(environment)
    , m_limits(limits)
    , m_token(token)
    , m_firstRunNumber(term * RunsPerTerm + 1)
    , m_startedAt(environment.clock.now())
    , m_leaseHandover(term, limits.lease)
    , m_self(std::make_shared<JobScheduler *>(this))
{
    m_authorityReviewedAt = m_startedAt;
}

JobScheduler::~JobScheduler() = default;

void JobScheduler::beginRecovery(const LeaseHolderRecord &record, const EarlierLeaseBounds &bounds)
{
    m_authorityReviewedAt = m_environment.clock.now();
    m_leaseHandover.begin(record, bounds, m_authorityReviewedAt);
    for (const WorkerListing &listing : record.workers) {
        WorkerState &worker = m_workers[listing.name];
        if (!worker.listed) {
            worker.listing = listing;
            worker.unlistedSince = m_authorityReviewedAt;
        }
        requestReport(worker);
    }
}

void JobScheduler::extendEarlierGrants(Instant grantsEndAt)
{
    m_leaseHandover.extendEarlierGrants(grantsEndAt);
}

RecoveryStage JobScheduler::recoveryStage() const
{
    return m_leaseHandover.recoveryStage(m_environment.clock.now(), m_workers);
}

RecoveryHolds JobScheduler::recoveryHolds() const
{
    return m_leaseHandover.recoveryHolds(m_environment.clock.now(), m_workers);
}

void JobScheduler::reviewRecovery()
{
    if (!m_leaseHandover.isRecoveryActive()) {
        return;
    }
    const Instant now = m_environment.clock.now();
    const bool pending = recoveryStage() != RecoveryStage::Over;
    if (pending && now - m_recoveryLoggedAt < RecoveryLogInterval) {
        return;
    }
    m_recoveryLoggedAt = now;
    Json inputs = m_leaseHandover.describeRecovery(now, m_workers);
    inputs["held_tasks"] = heldTaskCount();
    m_environment.listener.logDecision(pending ? "recovery-pending" : "recovery-ended", {}, inputs);
    if (!pending) {
        m_leaseHandover.endRecovery();
    }
}

int JobScheduler::readyCount(const StepState &step, const RecoveryHolds &holds)
{
    if (holds.isEmpty() || !step.occurrence->job->fromEarlierTerm) {
        return step.waitingCount;
    }
    return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
        [&holds](const TaskState &task) { return task.phase == RunPhase::Waiting && !holds.isHeldBack(task); }));
}

int JobScheduler::heldTaskCount() const
{
    const RecoveryHolds holds = recoveryHolds();
    int count = 0;
    for (const JobState *job : m_unfinishedJobs) {
        for (const auto &[number, occurrence] : job->occurrences) {
            for (const StepState &step : occurrence.steps) {
                if (step.waitingCount > 0 && occurrence.isEligible(step)) {
                    count += step.waitingCount - readyCount(step, holds);
                }
            }
        }
    }
    return count;
}

JobState &JobScheduler::insert(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall)
{
    const std::string id = specification.id;
    auto &job = m_jobs[id];
    job = std::make_unique<JobState>();
    job->specification = std::move(specification);
    job->policy = policyFor(job->specification.queue, policy);
    job->recordedPolicy = std::move(policy);
    job->acceptedWall = acceptedWall;
    const std::int64_t age = std::max<std::int64_t>(0, m_environment.clock.wallMilliseconds() - acceptedWall);
    job->acceptedAt = m_environment.clock.now() - Milliseconds(age);
    job->value = m_queueWork.addJob(job->policy.queue, workOf(job->specification));
    return *job;
}

void JobScheduler::restore(
    JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall, const Json &progress)
{
    if (m_jobs.contains(specification.id)) {
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    job.fromEarlierTerm = true;
    restoreProgress(job, progress);
    for (auto &[number, occurrence] : job.occurrences) {
        assignImageIds(occurrence);
    }
    if (job.isFinished()) {
        job.finishedAt = m_environment.clock.now();
        return;
    }
    m_unfinishedJobs.push_back(&job);
    createDueOccurrences(job);
    awaitOpenRuns(job);
    dispatchSoon();
}

void JobScheduler::add(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall)
{
    if (m_jobs.contains(specification.id)) {
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    m_environment.listener.logDecision("job-accepted", job.specification.id,
        {{"queue", job.policy.queue}, {"objective_ms", latencyObjective(job).count()},
            {"steps", describe(job.specification)["steps"]}});
    m_unfinishedJobs.push_back(&job);
    createDueOccurrences(job);
    dispatchSoon();
}

void JobScheduler::createDueOccurrences(JobState &job)
{
    if (job.isDeparting) {
        return;
    }
    const std::int64_t count = std::max<std::int64_t>(1, job.specification.repeatCount);
    const std::int64_t now = m_environment.clock.wallMilliseconds();
    // Occurrences that are due wait while too many tasks of earlier ones are unfinished.
    const std::int64_t mostOpen
        = std::max<std::int64_t>(1, MaximumTasks / std::max<std::int64_t>(1, job.specification.taskCount()));
    while (job.nextOccurrence < count && job.specification.dueTime(job.nextOccurrence) <= now
        && job.nextOccurrence - job.finishedOccurrences < mostOpen) {
        assignImageIds(createOccurrence(job, job.nextOccurrence));
        ++job.nextOccurrence;
        dispatchSoon();
    }
}

void JobScheduler::assignImageIds(OccurrenceState &occurrence)
{
    for (StepState &step : occurrence.steps) {
        step.image = m_interference.idOf(step.specification().image);
    }
}

bool JobScheduler::cancel(const std::string &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return false;
    }
    if (!found->second->isFinished()) {
        finish(*found->second, JobPhase::Cancelled);
    }
    return true;
}

void JobScheduler::setPhase(JobState &job, JobPhase phase)
{
    job.phase = phase;
    m_environment.listener.progressChanged(job.specification.id);
}

void JobScheduler::finish(JobState &job, JobPhase phase)
{
    m_environment.listener.logDecision("job-finished", job.specification.id, {{"phase", nameOf(phase)}});
    job.finishedAt = m_environment.clock.now();
    std::erase(m_unfinishedJobs, &job);
    setPhase(job, phase);
    stopTasks(job);
    dispatchSoon();
}

void JobScheduler::stopTasks(JobState &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &task : step.tasks) {
                if (task.awaitsRecording) {
                    // Its start was not sent, so there is nothing to stop.
                    m_heldStarts.erase({nameOf(task), task.run});
                    requeue(task, Milliseconds(0));
                } else if (task.phase == RunPhase::Starting || task.phase == RunPhase::Running) {
                    beginStop(task);
                }
            }
        }
    }
}

void JobScheduler::completeTask(TaskState &task)
{
    StepState &step = *task.step;
    if (task.phase == RunPhase::Waiting) {
        --step.waitingCount;
    }
    task.phase = RunPhase::Done;
    task.times.begin(TaskActivity::None, m_environment.clock.now());
    ++step.doneCount;
    m_environment.listener.progressChanged(step.occurrence->job->specification.id);
    dispatchSoon();
    if (step.doneCount == static_cast<int>(step.tasks.size())) {
        logFinishedStep(step, task);
        completeStep(step);
    }
}

void JobScheduler::logFinishedStep(const StepState &step, const TaskState &last)
{
    const JobState &job = *step.occurrence->job;
    const auto age = std::chrono::duration_cast<Milliseconds>(m_environment.clock.now() - job.acceptedAt);
    const auto spent = [&last](TaskActivity activity) {
        return last.times.spent(activity).count();
    };
    m_environment.listener.logDecision("step-finished", job.specification.id,
        {{"queue", job.policy.queue}, {"occurrence", step.occurrence->number}, {"step", step.number},
            {"steps", step.occurrence->steps.size()}, {"tasks", step.tasks.size()}, {"age_ms", age.count()},
            {"objective_ms", latencyObjective(job).count()}, {"estimate_ms", step.specification().estimate.count()},
            {"last_task", last.index}, {"waiting_ms", spent(TaskActivity::Waiting)},
            {"ordering_ms", spent(TaskActivity::Ordering)}, {"running_ms", spent(TaskActivity::Running)},
            {"paused_ms", spent(TaskActivity::Paused)}, {"placements", last.placements},
            {"failures", last.failedRuns.size()}});
}

void JobScheduler::completeStep(StepState &step)
{
    OccurrenceState &occurrence = *step.occurrence;
    JobState &job = *occurrence.job;
    ++occurrence.stepsDone;
    markDependentsUnstarted(step);
    if (occurrence.stepsDone < static_cast<int>(occurrence.steps.size())) {
        return;
    }
    ++job.finishedOccurrences;
    if (job.finishedOccurrences >= std::max<std::int64_t>(1, job.specification.repeatCount)) {
        finish(job, JobPhase::Done);
    }
}

void JobScheduler::markDependentsUnstarted(const StepState &step)
{
    const bool endedUnderThisTerm
        = std::any_of(step.tasks.begin(), step.tasks.end(), [](const TaskState &task) { return task.isPlaceKnown; });
    if (!endedUnderThisTerm) {
        return;
    }
    for (StepState &other : step.occurrence->steps) {
        const std::vector<int> &after = other.specification().after;
        if (std::find(after.begin(), after.end(), step.number) == after.end()) {
            continue;
        }
        for (TaskState &task : other.tasks) {
            task.isPlaceKnown = true;
        }
    }
}

TaskState *JobScheduler::findTask(const TaskName &name)
{
    const auto found = m_jobs.find(name.job);
    return found == m_jobs.end() ? nullptr : found->second->find(name);
}

void JobScheduler::updatePolicies(const std::map<std::string, QueuePolicy> &policies)
{
    m_policies.update(policies);
    for (JobState *job : m_unfinishedJobs) {
        QueuePolicy newest = policyFor(job->specification.queue, job->policy);
        if (newest.pool != job->policy.pool) {
            m_environment.listener.logDecision("job-pool-changed", job->specification.id,
                {{"queue", job->specification.queue}, {"former_pool", job->policy.pool}, {"pool", newest.pool},
                    {"version", newest.version}});
        }
        job->policy = std::move(newest);
    }
    dispatchSoon();
}

const QueuePolicy &JobScheduler::policyFor(const std::string &queue, const QueuePolicy &given) const
{
    return m_policies.newest(queue, given);
}

std::map<std::string, QueuePolicy> JobScheduler::unrecordedPolicies() const
{
    std::map<std::string, QueuePolicy> policies;
    for (const JobState *job : m_unfinishedJobs) {
        if (!job->policy.hasSameRules(job->recordedPolicy)) {
            policies[job->specification.queue] = job->policy;
        }
    }
    return policies;
}

void JobScheduler::setAuthority(SchedulingAuthority authority)
{
    if (m_authority == authority) {
        return;
    }
    m_environment.listener.logDecision(
        "authority-changed", std::string(nameOf(authority)), {{"previous", nameOf(m_authority)}});
    m_authority = authority;
    if (authority == SchedulingAuthority::Full) {
        dispatchSoon();
    }
}

bool JobScheduler::isAuthorityCurrent() const
{
    return m_environment.clock.now() - m_authorityReviewedAt <= LongestTickDelay;
}

void JobScheduler::tick()
{
    m_authorityReviewedAt = m_environment.clock.now();
    m_expectedJobs.forgetOld(m_authorityReviewedAt);
    const std::vector<JobState *> unfinished = m_unfinishedJobs;
    for (JobState *job : unfinished) {
        createDueOccurrences(*job);
    }
    reviewRecovery();
    sampleBatchDemand();
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        WorkerState &worker = entry->second;
        expireLeases(worker);
        forgetLostRuns(worker);
        if (isRemovable(worker)) {
            entry = m_workers.erase(entry);
            continue;
        }
        withdrawHeldStarts(worker);
        retryOrders(worker);
        requestReport(worker);
        ++entry;
    }
    m_evacuationDue = true;
    dispatchSoon();
}

const JobState *JobScheduler::find(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

std::vector<std::string> JobScheduler::jobIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        ids.push_back(id);
    }
    return ids;
}

int JobScheduler::waitingCount(const std::string &queue) const
{
    int count = 0;
    for (const JobState *job : m_unfinishedJobs) {
        count += job->specification.queue == queue && !job->ownedElsewhere && !job->hasStarted ? 1 : 0;
    }
    return count;
}

std::map<std::string, RunEndPosition> JobScheduler::appliedRunEnds() const
{
    std::map<std::string, RunEndPosition> positions;
    for (const auto &[name, worker] : m_workers) {
        if (worker.hasUnrecordedEnds()) {
            positions[name] = {worker.incarnation, worker.appliedEnd};
        }
    }
    return positions;
}

void JobScheduler::onRunEndsRecorded(const std::map<std::string, RunEndPosition> &positions)
{
    for (const auto &[name, position] : positions) {
        WorkerState *worker = findWorker(name);
        if (worker == nullptr || worker->incarnation != position.incarnation) {
            continue;
        }
        worker->recordedEnd = std::max(worker->recordedEnd, position.number);
        worker->unrecordedEnds.erase(
            worker->unrecordedEnds.begin(), worker->unrecordedEnds.upper_bound(position.number));
        requestReport(*worker);
    }
}

void JobScheduler::phaseRecorded(const std::string &job, JobPhase phase)
{
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
        found->second->recordedPhase = phase;
    }
}

std::vector<RemovedJob> JobScheduler::removeFinished(Instant endedBefore)
{
    std::vector<RemovedJob> removed;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        JobState &job = *entry->second;
        bool removable = job.isFinished() && job.recordedPhase == job.phase && job.finishedAt < endedBefore;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const StepState &step : occurrence.steps) {
                for (const TaskState &task : step.tasks) {
                    removable = removable && task.worker.empty();
                }
            }
        }
        if (!removable) {
            ++entry;
            continue;
        }
        removed.push_back({entry->first, job.ownedElsewhere});
        entry = m_jobs.erase(entry);
    }
    return removed;
}

bool JobScheduler::isRemovable(const WorkerState &worker) const
{
    const Instant now = m_environment.clock.now();
    if (worker.listed || worker.mayBeListedAgain(now) || worker.hasUnrecordedEnds() || !worker.tasks.empty()
        || !worker.lostRuns.empty() || !worker.heldPlaces.isEmpty() || now < worker.lateRequests.acknowledgementsEndAt()
        || now < worker.lateStarts.endAt() || m_leaseHandover.isUnconfirmed(worker.listing.name)) {
        return false;
    }
    const std::optional<Instant> expiry = worker.leaseExpiry();
    return !worker.mayRunTasks() || !expiry || now >= *expiry;
}

std::vector<WorkerListing> JobScheduler::leaseHolders() const
{
    const Instant now = m_environment.clock.now();
    std::vector<WorkerListing> holders;
    for (const auto &[name, worker] : m_workers) {
        if (m_leaseHandover.isHolder(worker, now)) {
            holders.push_back(worker.listing);
        }
    }
    return holders;
}

bool JobScheduler::isLeaseRecordDue() const
{
    return m_leaseHandover.isRecordDue(m_environment.clock.now(), m_workers, m_authority);
}

BegunLeaseRecord JobScheduler::beginLeaseRecord()
{
    return m_leaseHandover.beginRecord(m_environment.clock.now(), m_workers, m_authority);
}

void JobScheduler::leaseRecordStored(std::uint64_t number)
{
    m_leaseHandover.recordStored(number);
    dispatchSoon();
}

const std::map<std::string, WorkerState> &JobScheduler::workers() const
{
    return m_workers;
}

BackfillInterferenceModel &JobScheduler::interferenceModel()
{
    return m_interference;
}

}
