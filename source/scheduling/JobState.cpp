#include "scheduling/JobState.h"

#include "base/NameTable.h"

#include <algorithm>
#include <charconv>

namespace Wagtail
{

namespace
{

constexpr NameTable<RunPhase, 6> RunPhaseNames {
    {{{RunPhase::Waiting, "waiting"}, {RunPhase::Starting, "starting"}, {RunPhase::Running, "running"},
        {RunPhase::Stopping, "stopping"}, {RunPhase::Done, "done"}, {RunPhase::Delegated, "delegated"}}}};

constexpr NameTable<JobPhase, 5> PhaseNames {{{{JobPhase::Pending, "pending"}, {JobPhase::Running, "running"},
    {JobPhase::Done, "done"}, {JobPhase::Failed, "failed"}, {JobPhase::Cancelled, "cancelled"}}}};

// The most tasks that are restored from the record of a job's progress.
constexpr std::int64_t MaximumRestoredTasks = 2 * MaximumTasks;

// Returns the number of an occurrence, or nothing if the text is not one of the job's.
std::optional<std::int64_t> parseOccurrence(const JobState &job, const std::string &text)
{
    std::int64_t number = -1;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    const bool isValid = error == std::errc() && end == last && number >= 0
        && number < std::max<std::int64_t>(1, job.specification.repeatCount) && !job.occurrences.contains(number);
    return isValid ? std::optional(number) : std::nullopt;
}

// Returns the progress of a task that the store keeps besides its completion, or null if there is none.
Json describeTask(const TaskState &task)
{
    const bool wasReturned = task.lastRunElsewhere > 0 && !task.step->occurrence->job->ownedElsewhere;
    const bool isEmpty = task.failedRuns.empty() && task.checkpoint.empty() && task.delegatedTo.empty()
        && task.crashes.isEmpty() && task.clearedRun == 0 && task.returnedRun == 0 && !wasReturned;
    if (task.phase == RunPhase::Done || isEmpty) {
        return nullptr;
    }
    Json document = {{"index", task.index}, {"failed_runs", task.failedRuns}, {"checkpoint", task.checkpoint}};
    task.crashes.describe(document);
    if (task.clearedRun > 0) {
        document["cleared_run"] = task.clearedRun;
    }
    if (!task.delegatedTo.empty()) {
        document["delegated_to"] = task.delegatedTo;
        document["last_run"] = task.run;
    } else if (wasReturned) {
        document["last_run"] = task.lastRunElsewhere;
    }
    if (task.returnedRun > 0) {
        document["returned_run"] = task.returnedRun;
    }
    return document;
}

void restoreCrashes(TaskState &task, const Json &entry)
{
    task.crashes = CrashHistory::parse(entry);
    const std::int64_t cleared = memberOr(entry, "cleared_run", std::int64_t {0});
    task.clearedRun = static_cast<std::uint64_t>(std::max(std::int64_t {0}, cleared));
}

Json describeStep(const StepState &step)
{
    std::string completed(step.tasks.size(), '0');
    Json tasks = Json::array();
    for (const TaskState &task : step.tasks) {
        if (task.phase == RunPhase::Done) {
            completed[static_cast<std::size_t>(task.index)] = '1';
        }
        Json entry = describeTask(task);
        if (!entry.is_null()) {
            tasks.push_back(std::move(entry));
        }
    }
    Json document = {{"done", completed}};
    if (!tasks.empty()) {
        document["tasks"] = std::move(tasks);
    }
    return document;
}

// Completes the members that an earlier version left unfinished when others were done. Members end as done together.
void completeGang(StepState &step)
{
    for (TaskState &task : step.tasks) {
        task.phase = RunPhase::Done;
    }
    step.doneCount = static_cast<int>(step.tasks.size());
    step.waitingCount = 0;
}

void restoreStep(StepState &step, const Json &document)
{
    const std::string completed = memberOr(document, "done", std::string());
    for (TaskState &task : step.tasks) {
        const auto index = static_cast<std::size_t>(task.index);
        if (index < completed.size() && completed[index] == '1') {
            task.phase = RunPhase::Done;
            ++step.doneCount;
            --step.waitingCount;
        }
    }
    if (step.specification().gang && step.doneCount > 0) {
        completeGang(step);
    }
    for (const Json &entry : memberOr(document, "tasks", Json::array())) {
        const int index = memberOr(entry, "index", -1);
        if (index < 0 || static_cast<std::size_t>(index) >= step.tasks.size()) {
            continue;
        }
        TaskState &task = step.tasks[static_cast<std::size_t>(index)];
        task.failedRuns = memberOr(entry, "failed_runs", std::set<std::uint64_t>());
        restoreCrashes(task, entry);
        task.checkpoint = memberOr(entry, "checkpoint", std::string());
        task.delegatedTo = memberOr(entry, "delegated_to", std::string());
        if (task.phase != RunPhase::Waiting) {
            continue;
        }
        task.run = std::min(memberOr(entry, "last_run", task.run), MaximumRunNumber);
        if (task.delegatedTo.empty()) {
            task.lastRunElsewhere = task.run;
        } else {
            task.phase = RunPhase::Delegated;
            --step.waitingCount;
        }
    }
}

}

std::string_view nameOf(RunPhase phase)
{
    return RunPhaseNames.nameOf(phase);
}

std::string_view nameOf(JobPhase phase)
{
    return PhaseNames.nameOf(phase);
}

JobPhase jobPhaseFromName(std::string_view name)
{
    return PhaseNames.find(name).value_or(JobPhase::Pending);
}

const StepSpecification &StepState::specification() const
{
    return occurrence->job->specification.steps[static_cast<std::size_t>(number)];
}

bool OccurrenceState::isEligible(const StepState &step) const
{
    const std::vector<int> &after = step.specification().after;
    return job->ownedElsewhere || std::all_of(after.begin(), after.end(), [this](int earlier) {
        const StepState &other = steps[static_cast<std::size_t>(earlier)];
        return other.doneCount == static_cast<int>(other.tasks.size());
    });
}

bool JobState::isFinished() const
{
    return phase == JobPhase::Done || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

TaskState *JobState::find(const TaskName &name)
{
    const auto occurrence = occurrences.find(name.occurrence);
    if (occurrence == occurrences.end() || name.step < 0
        || static_cast<std::size_t>(name.step) >= occurrence->second.steps.size()) {
        return nullptr;
    }
    StepState &step = occurrence->second.steps[static_cast<std::size_t>(name.step)];
    if (name.index < 0 || static_cast<std::size_t>(name.index) >= step.tasks.size()) {
        return nullptr;
    }
    return &step.tasks[static_cast<std::size_t>(name.index)];
}

std::set<std::string> JobState::delegates() const
{
    std::set<std::string> partitions = formerDelegates;
    for (const auto &[number, occurrence] : occurrences) {
        for (const StepState &step : occurrence.steps) {
            for (const TaskState &task : step.tasks) {
                if (!task.delegatedTo.empty()) {
                    partitions.insert(task.delegatedTo);
                }
            }
        }
    }
    return partitions;
}

TaskName nameOf(const TaskState &task)
{
    const OccurrenceState &occurrence = *task.step->occurrence;
    return {occurrence.job->specification.id, occurrence.number, task.step->number, task.index};
}

bool mayRunUnknown(const TaskState &task)
{
    return task.step->occurrence->job->fromEarlierTerm && !task.isPlaceKnown;
}

OccurrenceState &createOccurrence(JobState &job, std::int64_t number)
{
    OccurrenceState &occurrence = job.occurrences[number];
    occurrence.job = &job;
    occurrence.number = number;
    for (std::size_t i = 0; i < job.specification.steps.size(); ++i) {
        StepState &step = occurrence.steps.emplace_back();
        step.occurrence = &occurrence;
        step.number = static_cast<int>(i);
        const int count = job.specification.steps[i].count;
        step.waitingCount = count;
        step.tasks.resize(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) {
            step.tasks[static_cast<std::size_t>(index)].step = &step;
            step.tasks[static_cast<std::size_t>(index)].index = index;
        }
    }
    return occurrence;
}

Json describeProgress(const JobState &job)
{
    Json document = {{"phase", nameOf(job.phase)}};
    if (job.isFinished()) {
        const std::set<std::string> delegates = job.delegates();
        if (!delegates.empty()) {
            document["delegates"] = delegates;
        }
        return document;
    }
    document["started"] = job.hasStarted;
    document["next"] = job.nextOccurrence;
    document["finished"] = job.finishedOccurrences;
    Json occurrences = Json::object();
    for (const auto &[number, occurrence] : job.occurrences) {
        Json steps = Json::array();
        for (const StepState &step : occurrence.steps) {
            steps.push_back(describeStep(step));
        }
        occurrences[std::to_string(number)] = std::move(steps);
    }
    document["occurrences"] = std::move(occurrences);
    if (!job.formerDelegates.empty()) {
        document["delegates"] = job.formerDelegates;
    }
    return document;
}

void restoreProgress(JobState &job, const Json &document)
{
    job.phase = jobPhaseFromName(memberOr(document, "phase", std::string()));
    job.recordedPhase = job.phase;
    job.formerDelegates = memberOr(document, "delegates", std::set<std::string>());
    job.hasStarted = memberOr(document, "started", false);
    const std::int64_t count = std::max<std::int64_t>(1, job.specification.repeatCount);
    job.nextOccurrence = std::clamp(memberOr(document, "next", std::int64_t {0}), std::int64_t {0}, count);
    job.finishedOccurrences
        = std::clamp(memberOr(document, "finished", std::int64_t {0}), std::int64_t {0}, job.nextOccurrence);
    const std::int64_t mostOccurrences
        = std::max<std::int64_t>(1, MaximumRestoredTasks / std::max<std::int64_t>(1, job.specification.taskCount()));
    const Json occurrences = memberOr(document, "occurrences", Json::object());
    for (const auto &[key, steps] : occurrences.items()) {
        const std::optional<std::int64_t> number = parseOccurrence(job, key);
        if (!number || !steps.is_array() || std::cmp_greater_equal(job.occurrences.size(), mostOccurrences)) {
            continue;
        }
        OccurrenceState &occurrence = createOccurrence(job, *number);
        for (std::size_t i = 0; i < occurrence.steps.size() && i < steps.size(); ++i) {
            StepState &step = occurrence.steps[i];
            restoreStep(step, steps[i]);
            occurrence.stepsDone += step.doneCount == static_cast<int>(step.tasks.size()) ? 1 : 0;
        }
    }
}

void restoreDelegatedProgress(JobState &job, const Json &document)
{
    const Json occurrences = memberOr(document, "occurrences", Json::object());
    for (auto &[number, occurrence] : job.occurrences) {
        const Json steps = memberOr(occurrences, std::to_string(number).c_str(), Json::array());
        if (!steps.is_array()) {
            continue;
        }
        for (std::size_t i = 0; i < occurrence.steps.size() && i < steps.size(); ++i) {
            std::vector<TaskState> &tasks = occurrence.steps[i].tasks;
            for (const Json &entry : memberOr(steps[i], "tasks", Json::array())) {
                const int index = memberOr(entry, "index", -1);
                if (index >= 0 && static_cast<std::size_t>(index) < tasks.size()) {
                    TaskState &task = tasks[static_cast<std::size_t>(index)];
                    restoreCrashes(task, entry);
                    task.returnedRun = std::min(memberOr(entry, "returned_run", std::uint64_t {0}), MaximumRunNumber);
                }
            }
        }
    }
}

}
