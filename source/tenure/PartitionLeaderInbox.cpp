// The part of PartitionLeader that exchanges requests with other instances and other partitions through the store.
#include "tenure/JobKeys.h"
#include "tenure/PartitionLeader.h"

namespace Wagtail
{

namespace
{

// One transaction holds the delegations of a job to so many partitions and other entries.
constexpr std::size_t MostDelegatesAtOnce = 8;
// A stopped task is passed on only if the store has answered within this time, and any task with a place in another
// partition is prepared to leave only within the longer one.
constexpr Milliseconds LongestSilenceBeforeDelegation {200};
constexpr Milliseconds LongestSilenceDuringSearch {500};

}

void PartitionLeader::cancelDelegated(const JobState &job)
{
    const std::string &id = job.specification.id;
    for (const std::string &partition : job.delegates()) {
        m_journal.put(
            JobKeys::inboxCancellation(partition, id), serialize(InboxEntry {InboxRequest::Cancel, id, std::nullopt}));
    }
}

void PartitionLeader::delegateUnplacedTasks()
{
    // Tasks whose delegation can't be recorded may still find a worker here.
    if (m_journal.isStoreUnavailable()) {
        return;
    }
    const std::vector<UnplacedStep> steps = m_jobScheduler.unplacedLongRunning();
    m_seeksRoom = !steps.empty();
    std::vector<UnplacedStep> seeking;
    for (const UnplacedStep &unplaced : steps) {
        // All delegations of a job that wait share one transaction, whose size is limited.
        if (m_journal.hasUnsentDelegation(unplaced.job)) {
            continue;
        }
        if (unplaced.ownedElsewhere) {
            giveBack(unplaced);
        } else if (m_placeSearch && maySeekPlaces(*m_jobScheduler.find(unplaced.job))) {
            seeking.push_back(unplaced);
        } else {
            delegate(unplaced);
        }
    }
    if (m_placeSearch) {
        seekPlaces(seeking);
    }
}

JobRecord PartitionLeader::placeDemand(const std::vector<const TaskState *> &tasks)
{
    const JobState &job = *tasks.front()->step->occurrence->job;
    JobRecord record {job.specification, job.policy, job.acceptedWall, {}};
    record.specification.payload.clear();
    // The other partition needs to know no more of the steps than up to the last task that it is asked for.
    for (StepSpecification &step : record.specification.steps) {
        step.count = 1;
    }
    for (const TaskState *task : tasks) {
        record.delegated.push_back(delegationOf(*task));
        StepSpecification &step = record.specification.steps[static_cast<std::size_t>(task->step->number)];
        step.count = std::max(step.count, task->index + 1);
    }
    return record;
}

bool PartitionLeader::maySeekPlaces(const JobState &job) const
{
    // Owners of earlier versions ask the advisor only about tasks that have arrived.
    return !job.policy.advised || m_mayRelocateJobs;
}

void PartitionLeader::seekPlaces(const std::vector<UnplacedStep> &unplaced)
{
    std::vector<JobRecord> demands;
    for (const UnplacedStep &step : unplaced) {
        const std::vector<TaskState *> tasks = m_jobScheduler.tasksWithoutPlace(step);
        if (!tasks.empty()) {
            demands.push_back(placeDemand({tasks.begin(), tasks.end()}));
        }
    }
    std::map<std::string, std::vector<const TaskState *>> leaving;
    std::set<TaskName> running;
    for (const TaskState *task : m_jobScheduler.leavingTasksWithoutPlace()) {
        const JobState &job = *task->step->occurrence->job;
        const std::string &id = job.specification.id;
        // A task of another partition's job leaves by way of that partition.
        const bool mayLeave = !job.ownedElsewhere || (m_mayGiveBack && m_returner.homeOf(id).has_value());
        if (mayLeave && maySeekPlaces(job) && !m_journal.hasUnsentDelegation(id)) {
            leaving[id].push_back(task);
            running.insert(nameOf(*task));
        }
    }
    for (const auto &[id, tasks] : leaving) {
        demands.push_back(placeDemand(tasks));
    }
    m_seeksRoom = m_seeksRoom || !leaving.empty();
    if (!demands.empty() && !m_storeContact.hasAnsweredWithin(LongestSilenceBeforeDelegation)) {
        m_storeContact.ask();
    }
    m_placeSearch->seek(demands, running);
}

std::set<TaskName> PartitionLeader::onPlacesHeld(const std::string &partition, const std::set<TaskName> &tasks)
{
    // Tasks whose delegation can't be recorded may still find a worker here, and those that run are not stopped.
    if (m_termEnded || m_journal.isStoreUnavailable()
        || !m_storeContact.hasAnsweredWithin(LongestSilenceDuringSearch)) {
        return {};
    }
    const RelocatedTasks relocated = m_jobScheduler.beginRelocation(partition, tasks);
    std::set<TaskName> leaving = relocated.stopping;
    for (const auto &[id, waiting] : relocated.waiting) {
        leaving.insert(waiting.begin(), waiting.end());
        passOn(id, waiting, partition);
    }
    return leaving;
}

void PartitionLeader::delegateStoppedTasks()
{
    // Until the delegation can be recorded, the tasks may run here again. The journal learns only from its next
    // transaction that the store is away, and can't withdraw that.
    if (!m_loaded || m_termEnded || m_journal.isStoreUnavailable()) {
        return;
    }
    const std::map<std::string, std::set<TaskName>> stopped = m_jobScheduler.stoppedForRelocation();
    if (stopped.empty()) {
        return;
    }
    if (!m_storeContact.hasAnsweredWithin(LongestSilenceBeforeDelegation)) {
        m_storeContact.ask();
        return;
    }
    for (const auto &[partition, tasks] : stopped) {
        std::map<std::string, std::set<TaskName>> byJob;
        for (const TaskName &task : tasks) {
            byJob[task.job].insert(task);
        }
        for (const auto &[id, names] : byJob) {
            if (!m_journal.hasUnsentDelegation(id)) {
                passOn(id, names, partition);
            }
        }
    }
}

void PartitionLeader::passOn(const std::string &id, const std::set<TaskName> &tasks, const std::string &partition)
{
    if (m_jobScheduler.find(id)->ownedElsewhere) {
        giveBack(id, tasks, partition);
    } else {
        delegate(id, tasks, partition);
    }
}

void PartitionLeader::giveBack(const std::string &id, const std::set<TaskName> &tasks, const std::string &nextPartition)
{
    const std::optional<std::string> home = m_mayGiveBack ? m_returner.homeOf(id) : std::nullopt;
    std::vector<DelegatedTask> returned;
    if (home) {
        returned = m_jobScheduler.giveBack(id, tasks);
    }
    if (returned.empty()) {
        return;
    }
    m_environment.log("tasks-returned", id,
        {{"partition", *home}, {"step", tasks.begin()->step}, {"count", returned.size()},
            {"next_partition", nextPartition}});
    m_returner.send(id, *home, std::move(returned), nextPartition);
}

void PartitionLeader::delegate(const std::string &id, const std::set<TaskName> &tasks, const std::string &partition)
{
    m_jobScheduler.delegate(id, tasks, partition);
    m_environment.log("tasks-delegated", id,
        {{"partition", partition}, {"step", tasks.begin()->step}, {"count", tasks.size()}, {"place_held", true}});
    sendDelegated(*m_jobScheduler.find(id), partition);
}

PlaceAnswer PartitionLeader::holdPlaces(const PlaceRequest &request)
{
    PlaceAnswer answer;
    m_jobScheduler.releasePlacesFor(request.released);
    for (const JobRecord &job : request.jobs) {
        answer.held.merge(m_jobScheduler.holdPlacesFor(job.specification, job.policy, job.delegated, request.onlyFree));
    }
    answer.headrooms = m_jobScheduler.headrooms();
    return answer;
}

void PartitionLeader::delegate(const UnplacedStep &unplaced)
{
    const JobState &job = *m_jobScheduler.find(unplaced.job);
    for (const DelegationChoice &choice : chooseDelegatesFor(unplaced)) {
        m_headrooms.reserve(choice.partition, job.policy.pool, demandOf(unplaced, choice.count));
        m_jobScheduler.delegate(unplaced, choice.partition, choice.count);
        m_environment.log("tasks-delegated", unplaced.job,
            {{"partition", choice.partition}, {"step", unplaced.step}, {"count", choice.count},
                {"waiting", unplaced.waiting}});
        sendDelegated(job, choice.partition);
    }
}

void PartitionLeader::giveBack(const UnplacedStep &unplaced)
{
    const std::optional<std::string> home = m_mayGiveBack ? m_returner.homeOf(unplaced.job) : std::nullopt;
    if (!home) {
        return;
    }
    // The home partition passes a task on only to a place that is held for it.
    int count = m_placeSearch ? unplaced.waiting : 0;
    for (const DelegationChoice &choice :
        m_placeSearch ? std::vector<DelegationChoice>() : chooseDelegatesFor(unplaced)) {
        // The home partition will choose among the same ones.
        m_headrooms.reserve(
            choice.partition, m_jobScheduler.find(unplaced.job)->policy.pool, demandOf(unplaced, choice.count));
        count += choice.count;
    }
    std::vector<DelegatedTask> tasks;
    if (count > 0) {
        tasks = m_jobScheduler.giveBack(unplaced, count);
    }
    if (tasks.empty()) {
        return;
    }
    m_environment.log("tasks-returned", unplaced.job,
        {{"partition", *home}, {"step", unplaced.step}, {"count", tasks.size()}, {"waiting", unplaced.waiting}});
    m_returner.send(unplaced.job, *home, std::move(tasks));
}

std::vector<DelegationChoice> PartitionLeader::chooseDelegatesFor(const UnplacedStep &unplaced) const
{
    const JobState &job = *m_jobScheduler.find(unplaced.job);
    const std::string &pool = job.policy.pool;
    DelegationQuery query {job.specification.steps[static_cast<std::size_t>(unplaced.step)], pool, unplaced.waiting,
        m_position.partition, m_headrooms.avoided(pool, unplaced.job)};
    query.seed = std::hash<std::string>()(m_position.partition + "/" + unplaced.job)
        + static_cast<std::uint64_t>(m_environment.clock.now().time_since_epoch().count());
    std::vector<DelegationChoice> choices = chooseDelegates(query, m_headrooms.headrooms());
    if (choices.size() > MostDelegatesAtOnce) {
        choices.resize(MostDelegatesAtOnce);
    }
    return choices;
}

std::int64_t PartitionLeader::demandOf(const UnplacedStep &unplaced, int count) const
{
    const JobState &job = *m_jobScheduler.find(unplaced.job);
    const StepSpecification &step = job.specification.steps[static_cast<std::size_t>(unplaced.step)];
    return count * WorkerState::countedDemand(step).milliCores;
}

std::string PartitionLeader::nextMessage()
{
    const std::uint64_t number = m_nextMessage;
    ++m_nextMessage;
    return std::to_string(m_position.term) + "." + std::to_string(number);
}

void PartitionLeader::takeBack(const std::string &key, const InboxEntry &entry)
{
    const JobState *job = m_jobScheduler.find(entry.job);
    if (job == nullptr) {
        m_journal.erase(key);
        return;
    }
    // A place that is held here waits for the tasks.
    const bool isOnTheWay = entry.nextPartition != m_position.partition;
    const int count = m_jobScheduler.takeBack(
        entry.job, entry.partition, entry.tasks, isOnTheWay ? entry.nextPartition : std::string());
    m_environment.log("tasks-taken-back", entry.job,
        {{"partition", entry.partition}, {"sent", entry.tasks.size()}, {"count", count},
            {"next_partition", entry.nextPartition}});
    if (count > 0) {
        m_headrooms.refuse(entry.partition, job->policy.pool, entry.job);
    }
    // The message must not be lost before the store has what it has led to.
    m_journal.eraseAfterProgress(key, entry.job);
}

void PartitionLeader::sendDelegated(const JobState &job, const std::string &partition)
{
    const std::string &id = job.specification.id;
    const JobRecord record {job.specification, job.policy, job.acceptedWall, tasksDelegatedTo(job, partition)};
    const InboxEntry entry {InboxRequest::Delegate, id, record};
    m_journal.delegate(id, partition,
        {{JobKeys::jobs(partition) + id, serialize(record), std::nullopt, 0},
            {JobKeys::inboxDelegation(partition, id, nextMessage()), serialize(entry), std::nullopt, 0}});
}

void PartitionLeader::delegatedTaskCrashed(const std::string &job, const std::string &partition)
{
    m_environment.log("crash-forwarded", job, {{"partition", partition}});
    if (partition.empty()) {
        m_returner.reportCrashes(job);
        return;
    }
    sendDelegated(*m_jobScheduler.find(job), partition);
}

void PartitionLeader::delegatedTaskGivenUp(const std::string &job)
{
    m_givenUpReporter.add(job);
}

void PartitionLeader::onInboxChanged(const std::string &key)
{
    const StoreEntry *entry = m_inbox.find(key);
    if (entry == nullptr) {
        return;
    }
    const Result<InboxEntry> parsed = parseInboxEntry(entry->value);
    if (const Error *error = errorOf(parsed)) {
        // A request that only a later version knows waits for an owner of that version.
        const bool isKept = error->kind == ErrorKind::UnsupportedProtocol;
        m_environment.log("inbox-entry-unreadable", key, {{"error", error->detail}, {"kept", isKept}});
        if (!isKept) {
            m_journal.erase(key);
        }
        return;
    }
    applyInboxEntry(key, std::get<InboxEntry>(parsed));
}

void PartitionLeader::applyInboxEntry(const std::string &key, const InboxEntry &entry)
{
    m_environment.log("inbox-entry-applied", entry.job, {{"request", nameOf(entry.request)}});
    if (entry.request == InboxRequest::Submit) {
        const JobRecord &record = *entry.record;
        m_jobScheduler.add(record.specification, record.policy, record.acceptedWall);
        applyKeptCancellation(entry.job);
        m_journal.erase(key);
        return;
    }
    if (entry.request == InboxRequest::Delegate) {
        const JobRecord &record = *entry.record;
        m_jobScheduler.addDelegated(record.specification, record.policy, record.acceptedWall, record.delegated);
        applyKeptCancellation(entry.job);
        m_journal.erase(key);
        return;
    }
    if (entry.request == InboxRequest::Cancel) {
        applyCancellation(key, entry);
        return;
    }
    if (entry.request == InboxRequest::Return) {
        takeBack(key, entry);
        return;
    }
    if (entry.request == InboxRequest::Move) {
        receiveJob(key, entry);
        return;
    }
    const JobState *job = m_jobScheduler.find(entry.job);
    if (job == nullptr) {
        m_journal.erase(key);
        return;
    }
    failDelegated(*job, key, entry);
}

void PartitionLeader::applyCancellation(const std::string &key, const InboxEntry &entry)
{
    const std::string &id = entry.job;
    const JobState *job = m_jobScheduler.find(id);
    if ((job != nullptr && job->isDeparting) || m_arrivals.contains(id)) {
        m_environment.log("cancellation-kept", id, {{"reason", "the job is changing its partition"}});
        return;
    }
    if (job != nullptr) {
        m_earlyCancellations.remove(id);
        cancelLocally(*job, [this, key](bool) { m_journal.erase(key); });
        return;
    }
    if (entry.isEarly) {
        m_earlyCancellations.add(id);
        m_environment.log("cancellation-kept", id, {{"reason", "the job may be accepted later"}});
        return;
    }
    if (m_journal.isAccepting(id)) {
        m_environment.log("cancellation-kept", id, {{"reason", "the outcome of the acceptance is unknown"}});
        return;
    }
    passOnCancellation(key, id);
}

void PartitionLeader::applyKeptCancellation(const std::string &id)
{
    const std::string key = JobKeys::inboxCancellation(m_position.partition, id);
    if (m_inbox.find(key) != nullptr) {
        onInboxChanged(key);
    } else if (m_earlyCancellations.contains(id)) {
        // Its key was erased because its lifetime was over when it was written again.
        applyCancellation(key, {InboxRequest::Cancel, id, std::nullopt, {}, {}, true});
    }
}

void PartitionLeader::eraseExpiredCancellations()
{
    for (const std::string &id : m_earlyCancellations.removeExpired()) {
        m_environment.log("cancellation-dropped", id, {{"reason", "the job was not accepted"}});
        m_journal.erase(JobKeys::inboxCancellation(m_position.partition, id));
    }
}

void PartitionLeader::failDelegated(const JobState &job, const std::string &key, const InboxEntry &verdict)
{
    const bool concernsJob = m_jobScheduler.failDelegated(verdict.job, verdict.tasks);
    if (!concernsJob && !job.isFinished()) {
        m_environment.log("verdict-ignored", verdict.job, {{"tasks", verdict.tasks.size()}});
    }
    if (job.isFinished()) {
        // The verdict must not be lost before the store has the end of the job.
        whenEndRecorded(job, [this, key](bool) { m_journal.erase(key); });
    } else {
        m_journal.erase(key);
    }
}

}
