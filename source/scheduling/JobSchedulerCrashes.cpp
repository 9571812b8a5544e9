// JobScheduler: workers that crash, and tasks that crash them.
#include "scheduling/CrashClearance.h"
#include "scheduling/CrashVerdict.h"
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"
#include "scheduling/WorkerSuccession.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// How long after the expiry of its leases a worker is asked whether it has crashed. It covers the restart of a worker.
constexpr Milliseconds LostRunRetention {15'000};

// Returns how a crash counts for one of the runs that it may have ended. A crash that was found out after a take-over
// does not tell these runs apart.
CrashTiming countedTiming(const CrashEvidence &item, const std::vector<CrashEvidence> &evidence)
{
    const bool isShared = std::any_of(evidence.begin(), evidence.end(), [&item](const CrashEvidence &other) {
        return !(other.run == item.run) && other.incarnation == item.incarnation;
    });
    return item.timing == CrashTiming::Unknown && isShared ? CrashTiming::Ambiguous : item.timing;
}

// Returns whether a recorded start can be sent as soon as the worker has answered a request that acknowledges run ends.
// The members of a gang are placed anew instead, because they have to start together.
bool waitsForAcknowledgement(const WorkerState &worker, const TaskState &task, Instant now)
{
    return worker.isAcknowledging() && now >= worker.lateRequests.acknowledgementsEndAt() && acceptsTasks(worker, now)
        && !task.step->specification().gang;
}

}

bool JobScheduler::needsOpenRun(const TaskState &task)
{
    return task.crashes.isSuspect() || task.endUnknown || task.mayHaveBeenRenewed || mayRunUnknown(task);
}

bool JobScheduler::mayPlace(const TaskState &task) const
{
    const bool isDeparting = task.step->occurrence->job->isDeparting;
    if (task.phase != RunPhase::Waiting || isDeparting || task.notBefore > m_environment.clock.now()) {
        return false;
    }
    return task.crashes.isEmpty() || judge(task.crashes) == CrashVerdict::Retry;
}

void JobScheduler::startPlaced(const std::vector<TaskState *> &tasks)
{
    // The members of a gang start together, or the first ones would wait for the others on their workers.
    const bool hold
        = std::any_of(tasks.begin(), tasks.end(), [](const TaskState *task) { return needsOpenRun(*task); });
    for (TaskState *task : tasks) {
        task->isolatedSince.reset();
        if (hold) {
            holdStart(*task);
        } else {
            sendStart(*task);
        }
    }
}

void JobScheduler::holdStart(TaskState &task)
{
    const WorkerState &worker = m_workers.at(task.worker);
    task.awaitsRecording = true;
    task.crashes.open(task.run, {task.worker, worker.listing.address, worker.incarnation, {}});
    m_heldStarts.insert({nameOf(task), task.run});
    m_environment.listener.startHeldBack(task.step->occurrence->job->specification.id);
}

std::set<RunName> JobScheduler::heldStarts() const
{
    return m_heldStarts;
}

void JobScheduler::onStartsRecorded(const std::set<RunName> &runs)
{
    for (const RunName &run : runs) {
        m_heldStarts.erase(run);
        TaskState *task = findTask(run.task);
        if (task == nullptr || task->run != run.run || !task->awaitsRecording || task->phase != RunPhase::Starting) {
            continue;
        }
        if (!maySendHeldStart(*task)) {
            const WorkerState *worker = findWorker(task->worker);
            if (worker == nullptr || !waitsForAcknowledgement(*worker, *task, m_environment.clock.now())) {
                withdrawHeldStart(*task);
            }
            continue;
        }
        task->awaitsRecording = false;
        sendStart(*task);
    }
}

void JobScheduler::sendRecordedStarts(const WorkerState &worker)
{
    std::set<RunName> recorded;
    for (const TaskState *task : worker.tasks) {
        const RunName run {nameOf(*task), task->run};
        if (task->awaitsRecording && task->phase == RunPhase::Starting && !m_heldStarts.contains(run)) {
            recorded.insert(run);
        }
    }
    onStartsRecorded(recorded);
}

bool JobScheduler::maySendHeldStart(const TaskState &task)
{
    if (m_authority != SchedulingAuthority::Full) {
        return false;
    }
    const Instant now = m_environment.clock.now();
    const auto isReady = [&](const TaskState &member) {
        const WorkerState *worker = findWorker(member.worker);
        return member.phase == RunPhase::Starting && member.run == task.run && worker != nullptr
            && acceptsTasks(*worker, now) && mayRepeatStart(*worker, *member.step, now)
            && m_leaseHandover.mayGrant(member.worker);
    };
    const StepState &step = *task.step;
    return step.specification().gang ? std::all_of(step.tasks.begin(), step.tasks.end(), isReady) : isReady(task);
}

void JobScheduler::withdrawHeldStarts(WorkerState &worker)
{
    const bool acceptsStarts = worker.listed && worker.listing.takesNewTasks() && worker.consecutiveUnanswered == 0;
    if (acceptsStarts) {
        return;
    }
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        if (task->awaitsRecording && task->phase == RunPhase::Starting) {
            withdrawHeldStart(*task);
        }
    }
}

void JobScheduler::withdrawHeldStart(TaskState &task)
{
    StepState &step = *task.step;
    std::vector<TaskState *> withdrawn {&task};
    if (step.specification().gang) {
        for (TaskState &member : step.tasks) {
            if (&member != &task && member.awaitsRecording) {
                withdrawn.push_back(&member);
            }
        }
    }
    for (TaskState *member : withdrawn) {
        m_heldStarts.erase({nameOf(*member), member->run});
        requeue(*member, Milliseconds(0));
    }
    m_environment.listener.progressChanged(step.occurrence->job->specification.id);
}

void JobScheduler::onWorkerReplaced(WorkerState &worker)
{
    const std::string &name = worker.listing.name;
    const bool isKnown = worker.hasAnswered || !worker.tasks.empty() || !worker.lostRuns.empty()
        || m_leaseHandover.isUnconfirmed(name);
    if (!isKnown) {
        return;
    }
    m_environment.listener.logDecision("worker-replaced", name,
        {{"address", worker.listing.address}, {"incarnation", worker.incarnation}, {"tasks", worker.tasks.size()}});
    const std::vector<CrashEvidence> evidence = collectCrashEvidence(worker, m_environment.clock.now());
    m_leaseHandover.confirm(name);
    worker.obsoleteRuns.restart({});
    worker.priorLeaseExpiresAt = {};
    worker.clock.reset(m_environment.clock.now());
    worker.leaseGrantedUntil = 0;
    worker.hasAnswered = false;
    // Orders that are still on their way name this incarnation, so whichever worker has the address refuses them.
    const std::vector<TaskState *> tasks(worker.tasks.begin(), worker.tasks.end());
    for (TaskState *task : tasks) {
        requeue(*task, Milliseconds(0));
    }
    countCrashes(worker, evidence);
}

std::vector<CrashEvidence> JobScheduler::collectCrashEvidence(
    WorkerState &worker, Instant crashedBy, const std::set<TaskState *> &kept)
{
    std::vector<CrashEvidence> evidence = crashEvidence(worker, crashedBy);
    const auto isKept = [&kept](const CrashEvidence &item) {
        return std::any_of(
            kept.begin(), kept.end(), [&item](const TaskState *task) { return nameOf(*task) == item.run.task; });
    };
    std::erase_if(evidence, isKept);
    if (!worker.listing.draining) {
        for (TaskState *task : worker.tasks) {
            if (kept.contains(task)) {
                continue;
            }
            const bool counts = std::any_of(evidence.begin(), evidence.end(),
                [task](const CrashEvidence &item) { return item.run.task == nameOf(*task); });
            task->endUnknown = task->endUnknown || (!task->awaitsRecording && !counts);
        }
    }
    for (const LostRun &lost : worker.lostRuns) {
        if (!worker.listing.draining) {
            evidence.push_back({lost.run, lost.incarnation, lost.timing});
        } else if (TaskState *task = findTask(lost.run.task)) {
            closeOpenRun(*task, lost.run.run);
        }
    }
    worker.lostRuns.clear();
    return evidence;
}

void JobScheduler::countCrashes(const WorkerState &worker, const std::vector<CrashEvidence> &evidence)
{
    if (evidence.empty()) {
        return;
    }
    Json runs = Json::array();
    std::vector<TaskState *> suspects;
    for (const CrashEvidence &item : evidence) {
        TaskState *task = findTask(item.run.task);
        if (task == nullptr || task->phase == RunPhase::Done || task->step->occurrence->job->isFinished()
            || item.run.run <= task->clearedRun) {
            continue;
        }
        const CrashTiming timing = countedTiming(item, evidence);
        if (!task->crashes.addCrash(item.run.run, {worker.listing.name, timing, item.incarnation})) {
            continue;
        }
        suspects.push_back(task);
        runs.push_back({{"task", item.run.task.text()}, {"run", item.run.run}, {"timing", nameOf(timing)},
            {"crashes", task->crashes.crashes().size()}});
        m_environment.listener.progressChanged(item.run.task.job);
    }
    m_environment.listener.logDecision("worker-crashed", worker.listing.name,
        {{"address", worker.listing.address}, {"incarnation", worker.incarnation}, {"runs", std::move(runs)}});
    // The conviction of one task may explain the crashes under the others.
    std::stable_sort(suspects.begin(), suspects.end(), [](const TaskState *left, const TaskState *right) {
        return left->crashes.crashes().size() > right->crashes.crashes().size();
    });
    for (TaskState *task : suspects) {
        const JobState &job = *task->step->occurrence->job;
        const bool isElsewhere = task->phase == RunPhase::Delegated && !job.isFinished();
        // The home partition judges a task that was given back to it.
        const bool wasGivenBack = isElsewhere && job.ownedElsewhere;
        if (!wasGivenBack && judge(task->crashes) == CrashVerdict::GiveUp) {
            giveUp(*task);
        } else if (isElsewhere) {
            m_environment.listener.delegatedTaskCrashed(job.specification.id, task->delegatedTo);
        }
    }
}

void JobScheduler::giveUp(TaskState &task)
{
    JobState &job = *task.step->occurrence->job;
    if (job.isFinished()) {
        return;
    }
    logGivenUp(nameOf(task), task.crashes);
    explainCrashes(task);
    if (job.ownedElsewhere) {
        m_environment.listener.delegatedTaskGivenUp(job.specification.id);
        return;
    }
    finish(job, JobPhase::Failed);
}

void JobScheduler::logGivenUp(const TaskName &task, const CrashHistory &history)
{
    Json crashes = Json::array();
    for (const auto &[run, crash] : history.crashes()) {
        crashes.push_back({{"run", run}, {"worker", crash.worker}, {"timing", nameOf(crash.timing)}});
    }
    m_environment.listener.logDecision("task-given-up", task.text(), {{"crashes", std::move(crashes)}});
}

void JobScheduler::explainCrashes(const TaskState &cause)
{
    const auto explain = [&cause](TaskState &task) {
        bool isExplained = false;
        for (const auto &[run, crash] : cause.crashes.crashes()) {
            isExplained = task.crashes.explain(crash) || isExplained;
        }
        return isExplained;
    };
    for (JobState *job : m_unfinishedJobs) {
        bool isExplained = false;
        for (auto &[number, occurrence] : job->occurrences) {
            for (StepState &step : occurrence.steps) {
                for (TaskState &task : step.tasks) {
                    isExplained = (&task != &cause && explain(task)) || isExplained;
                }
            }
        }
        if (isExplained) {
            m_environment.listener.progressChanged(job->specification.id);
        }
    }
}

void JobScheduler::noteLostRuns(WorkerState &worker, const std::vector<TaskState *> &tasks)
{
    const std::vector<CrashEvidence> evidence = crashEvidence(worker, m_environment.clock.now());
    for (TaskState *task : tasks) {
        const bool wasSent = !task->awaitsRecording;
        requeue(*task, Milliseconds(0));
        task->endUnknown = task->endUnknown || (wasSent && !worker.listing.draining);
        task->mayHaveBeenRenewed = task->mayHaveBeenRenewed || wasSent;
    }
    for (const auto &[run, incarnation, timing] : evidence) {
        TaskState *task = findTask(run.task);
        const bool isLost = std::find(tasks.begin(), tasks.end(), task) != tasks.end();
        if (isLost && task->phase != RunPhase::Done) {
            worker.lostRuns.push_back({run, incarnation, timing, m_environment.clock.now()});
            task->crashes.open(run.run, {worker.listing.name, worker.listing.address, incarnation, timing});
        }
    }
}

void JobScheduler::explainLostRuns(WorkerState &worker, std::int64_t incarnation, const std::set<RunName> &listed)
{
    std::vector<CrashEvidence> evidence;
    for (const LostRun &lost : worker.lostRuns) {
        if (lost.incarnation < incarnation && !listed.contains(lost.run)) {
            evidence.push_back({lost.run, lost.incarnation, lost.timing});
            continue;
        }
        TaskState *task = findTask(lost.run.task);
        const bool isAdopted = task != nullptr && task->worker == worker.listing.name && task->run == lost.run.run;
        if (task != nullptr && lost.incarnation <= incarnation && !isAdopted) {
            closeOpenRun(*task, lost.run.run);
        }
    }
    std::erase_if(worker.lostRuns, [incarnation](const LostRun &lost) { return lost.incarnation <= incarnation; });
    countCrashes(worker, evidence);
}

void JobScheduler::forgetLostRuns(WorkerState &worker)
{
    // The next worker at the address may be gone again before this one is asked, and then nothing answers for it.
    if (!worker.lostRuns.empty() && hasSuccessor(worker, m_workers)) {
        onWorkerReplaced(worker);
    }
    const Instant now = m_environment.clock.now();
    std::erase_if(worker.lostRuns, [&](const LostRun &lost) {
        const bool isOld = now > lost.lostAt + LostRunRetention;
        TaskState *task = isOld ? findTask(lost.run.task) : nullptr;
        if (task != nullptr) {
            closeOpenRun(*task, lost.run.run);
        }
        return isOld;
    });
}

void JobScheduler::closeOpenRun(TaskState &task, std::uint64_t run)
{
    const JobState &job = *task.step->occurrence->job;
    // The progress of a finished job holds no open runs.
    if (task.crashes.close(run) && !job.isFinished()) {
        m_environment.listener.progressChanged(job.specification.id);
    }
}

void JobScheduler::closeOpenRuns(const WorkerState &worker)
{
    for (TaskState *task : worker.tasks) {
        if (!task->awaitsRecording) {
            closeOpenRun(*task, task->run);
        }
    }
}

void JobScheduler::clearSuspicion(TaskState &task)
{
    const bool hasLivedLong = task.phase == RunPhase::Running && task.runStartedAt
        && m_environment.clock.now() - *task.runStartedAt > CrashHistory::LongestSuspicion;
    if (!hasLivedLong) {
        return;
    }
    task.endUnknown = false;
    if (task.step->specification().longRunning && !task.crashes.isEmpty()) {
        clearCrashes(task, task.run);
        m_environment.listener.progressChanged(task.step->occurrence->job->specification.id);
    }
}

void JobScheduler::awaitOpenRuns(JobState &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (StepState &step : occurrence.steps) {
            for (TaskState &task : step.tasks) {
                awaitOpenRuns(task);
                if (task.phase == RunPhase::Waiting && judge(task.crashes) == CrashVerdict::GiveUp) {
                    giveUp(task);
                }
                if (job.isFinished()) {
                    return;
                }
            }
        }
    }
}

void JobScheduler::awaitOpenRuns(TaskState &task)
{
    const Instant lostAt = std::max(m_environment.clock.now(), m_leaseHandover.priorLeasesExpireAt());
    const std::map<std::uint64_t, OpenRun> openRuns = task.crashes.openRuns();
    for (const auto &[run, openRun] : openRuns) {
        WorkerState &worker = m_workers[openRun.worker];
        if (worker.listing.name.empty()) {
            worker.listing.name = openRun.worker;
            worker.listing.address = openRun.address;
            worker.listing.incarnation = openRun.incarnation;
        }
        if (!worker.hasAnswered) {
            m_leaseHandover.expect(openRun.worker);
        }
        worker.lostRuns.push_back({{nameOf(task), run}, openRun.incarnation, CrashTiming::Unknown, lostAt});
        task.crashes.markLost(run, CrashTiming::Unknown);
        requestReport(worker);
    }
}

}
