#include "scheduling/JobScheduler.h"

#include "base/NameTable.h"
#include "scheduling/JobRank.h"
#include "scheduling/PlacementSurvey.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// How much longer than its leases an owner waits for live workers that it has not heard yet.
constexpr Milliseconds LongestHearing {10'000};
// Run numbers of one tenure; a task that needs more starts than this within one tenure is hopeless.
constexpr std::uint64_t RunsPerTenure = 100'000;

constexpr NameTable<SchedulingAuthority, 3> AuthorityNames {{{{SchedulingAuthority::Full, "full"},
    {SchedulingAuthority::KeepRunning, "keep-running"}, {SchedulingAuthority::Observe, "observe"}}}};

}

std::string_view nameOf(SchedulingAuthority authority)
{
    return AuthorityNames.nameOf(authority);
}

JobScheduler::JobScheduler(Environment environment, SchedulingLimits limits, FencingToken token, std::uint64_t tenure)
    : m_environment(environment)
    , m_limits(limits)
    , m_token(token)
    , m_firstRun(tenure * RunsPerTenure + 1)
    , m_beganAt(environment.clock.now())
    , m_self(std::make_shared<JobScheduler *>(this))
{
}

JobScheduler::~JobScheduler() = default;

void JobScheduler::beginRecovery(const std::vector<WorkerListing> &workers, Instant leasesOverAt)
{
    m_recoveringUntil = leasesOverAt;
    for (const WorkerListing &listing : workers) {
        m_inheritedWorkers.insert(listing.name);
        WorkerState &worker = m_workers[listing.name];
        if (!worker.listed) {
            worker.listing = listing;
        }
        contact(worker);
    }
}

bool JobScheduler::isRecovering() const
{
    const Instant now = m_environment.clock.now();
    if (m_inheritedWorkers.empty() || now < m_recoveringUntil) {
        return !m_inheritedWorkers.empty();
    }
    // An owner that is short of processor time may not have heard what a live worker has long finished.
    return now < m_recoveringUntil + LongestHearing
        && std::any_of(m_inheritedWorkers.begin(), m_inheritedWorkers.end(), [this](const std::string &name) {
               const auto worker = m_workers.find(name);
               return worker != m_workers.end() && worker->second.listed
                   && worker->second.unansweredInRow < UnansweredBeforeNotice;
           });
}

JobState &JobScheduler::insert(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall)
{
    const std::string id = specification.id;
    auto &slot = m_jobs[id];
    slot = std::make_unique<JobState>();
    slot->specification = std::move(specification);
    slot->policy = std::move(policy);
    slot->acceptedWall = acceptedWall;
    const std::int64_t age = std::max<std::int64_t>(0, m_environment.clock.wallMilliseconds() - acceptedWall);
    slot->acceptedAt = m_environment.clock.now() - Milliseconds(age);
    return *slot;
}

void JobScheduler::restore(
    JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall, const Json &progress)
{
    if (m_jobs.contains(specification.id)) {
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    job.inherited = true;
    restoreProgress(job, progress);
    for (auto &[number, occurrence] : job.occurrences) {
        numberImages(occurrence);
    }
    if (job.isFinished()) {
        job.finishedAt = m_environment.clock.now();
        return;
    }
    m_open.push_back(&job);
    createDueOccurrences(job);
    dispatchSoon();
}

void JobScheduler::add(JobSpecification specification, QueuePolicy policy, std::int64_t acceptedWall)
{
    if (m_jobs.contains(specification.id)) {
        return;
    }
    JobState &job = insert(std::move(specification), std::move(policy), acceptedWall);
    m_environment.listener.logDecision("job-accepted", job.specification.id,
        {{"queue", job.policy.queue}, {"objective_ms", objectiveOf(job).count()},
            {"steps", describe(job.specification)["steps"]}});
    m_open.push_back(&job);
    createDueOccurrences(job);
    dispatchSoon();
}

void JobScheduler::createDueOccurrences(JobState &job)
{
    const std::int64_t count = std::max<std::int64_t>(1, job.specification.repeatCount);
    const std::int64_t now = m_environment.clock.wallMilliseconds();
    while (job.nextOccurrence < count && job.specification.dueTime(job.nextOccurrence) <= now) {
        numberImages(createOccurrence(job, job.nextOccurrence));
        ++job.nextOccurrence;
        dispatchSoon();
    }
}

void JobScheduler::numberImages(OccurrenceState &occurrence)
{
    for (StepState &step : occurrence.steps) {
        step.image = m_pressure.idOf(step.specification().image);
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
    std::erase(m_open, &job);
    setPhase(job, phase);
    stopTasks(job);
    dispatchSoon();
}

void JobScheduler::stopTasks(JobState &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &task : step.tasks) {
                if (task.phase == RunPhase::Starting || task.phase == RunPhase::Running) {
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
    ++step.doneCount;
    m_environment.listener.progressChanged(step.occurrence->job->specification.id);
    dispatchSoon();
    if (step.doneCount == static_cast<int>(step.tasks.size())) {
        completeStep(step);
    }
}

void JobScheduler::completeStep(StepState &step)
{
    OccurrenceState &occurrence = *step.occurrence;
    JobState &job = *occurrence.job;
    ++occurrence.stepsDone;
    if (occurrence.stepsDone < static_cast<int>(occurrence.steps.size())) {
        return;
    }
    ++job.finishedOccurrences;
    if (job.finishedOccurrences >= std::max<std::int64_t>(1, job.specification.repeatCount)) {
        finish(job, JobPhase::Done);
    }
}

TaskState *JobScheduler::findTask(const TaskName &name)
{
    const auto found = m_jobs.find(name.job);
    return found == m_jobs.end() ? nullptr : found->second->find(name);
}

void JobScheduler::updatePolicies(const std::map<std::string, QueuePolicy> &policies)
{
    for (JobState *job : m_open) {
        const auto found = policies.find(job->specification.queue);
        if (found != policies.end()) {
            job->policy = found->second;
        }
    }
    dispatchSoon();
}

void JobScheduler::setAuthority(SchedulingAuthority authority)
{
    if (m_authority == authority) {
        return;
    }
    m_environment.listener.logDecision(
        "authority-changed", std::string(nameOf(authority)), {{"was", nameOf(m_authority)}});
    m_authority = authority;
    if (authority == SchedulingAuthority::Full) {
        dispatchSoon();
    }
}

void JobScheduler::tick()
{
    const std::vector<JobState *> open = m_open;
    for (JobState *job : open) {
        createDueOccurrences(*job);
    }
    if (!isRecovering()) {
        m_inheritedWorkers.clear();
    }
    observePassingWork();
    for (auto entry = m_workers.begin(); entry != m_workers.end();) {
        WorkerState &worker = entry->second;
        expireLeases(worker);
        if (isGone(worker)) {
            const bool held = worker.leaseGrantedUntil > 0;
            entry = m_workers.erase(entry);
            if (held) {
                m_environment.listener.leaseHoldersChanged();
            }
            continue;
        }
        retryOrders(worker);
        contact(worker);
        ++entry;
    }
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
    for (const JobState *job : m_open) {
        count += job->specification.queue == queue && !job->ownedElsewhere && !job->everStarted ? 1 : 0;
    }
    return count;
}

std::map<std::string, RunEndPosition> JobScheduler::appliedRunEnds() const
{
    std::map<std::string, RunEndPosition> marks;
    for (const auto &[name, worker] : m_workers) {
        if (worker.processedEnd > worker.recordedEnd) {
            marks[name] = {worker.incarnation, worker.processedEnd};
        }
    }
    return marks;
}

void JobScheduler::onRunEndsRecorded(const std::map<std::string, RunEndPosition> &marks)
{
    for (const auto &[name, mark] : marks) {
        WorkerState *worker = findWorker(name);
        if (worker == nullptr || worker->incarnation != mark.incarnation) {
            continue;
        }
        worker->recordedEnd = std::max(worker->recordedEnd, mark.number);
        contact(*worker);
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
    std::vector<RemovedJob> forgotten;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        JobState &job = *entry->second;
        bool idle = job.isFinished() && job.recordedPhase == job.phase && job.finishedAt < endedBefore;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const StepState &step : occurrence.steps) {
                for (const TaskState &task : step.tasks) {
                    idle = idle && task.worker.empty();
                }
            }
        }
        if (!idle) {
            ++entry;
            continue;
        }
        forgotten.push_back({entry->first, job.ownedElsewhere});
        entry = m_jobs.erase(entry);
    }
    return forgotten;
}

bool JobScheduler::isGone(const WorkerState &worker) const
{
    if (worker.listed || !worker.tasks.empty() || m_inheritedWorkers.contains(worker.listing.name)) {
        return false;
    }
    return worker.leaseGrantedUntil == 0
        || (worker.clock.isKnown() && m_environment.clock.now() >= worker.clock.surelyPast(worker.leaseGrantedUntil));
}

std::vector<WorkerListing> JobScheduler::leaseHolders() const
{
    std::vector<WorkerListing> holders;
    for (const auto &[name, worker] : m_workers) {
        // Until they answer, inherited workers may hold leases of earlier tenures.
        if (worker.leaseGrantedUntil > 0 || m_inheritedWorkers.contains(name)) {
            holders.push_back(worker.listing);
        }
    }
    return holders;
}

const std::map<std::string, WorkerState> &JobScheduler::workers() const
{
    return m_workers;
}

BackfillInterferenceModel &JobScheduler::interferenceModel()
{
    return m_pressure;
}

}
