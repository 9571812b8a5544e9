#include "scheduling/JobSpecification.h"

#include <algorithm>
#include <numeric>

namespace Wagtail
{

namespace
{

constexpr int MaximumSteps = 1'000;

Error invalid(std::string detail, std::string remedy)
{
    return {ErrorKind::InvalidInput, std::move(detail), std::move(remedy)};
}

// Adds a member unless it has its default value, which keeps the stored documents small.
template<typename Value>
void addUnlessDefault(Json &document, const char *name, const Value &value, const Value &defaultValue)
{
    if (value != defaultValue) {
        document[name] = value;
    }
}

Json describe(const StepSpecification &step)
{
    const StepSpecification defaults;
    Json document = {{"count", step.count}, {"millicores", step.demand.milliCores},
        {"memory_mb", step.demand.memoryMegabytes}, {"estimate_ms", step.estimate.count()}};
    addUnlessDefault(document, "accelerators", step.demand.accelerators, defaults.demand.accelerators);
    addUnlessDefault(document, "after", step.after, defaults.after);
    addUnlessDefault(document, "checkpoints", step.checkpoints, defaults.checkpoints);
    addUnlessDefault(document, "gang", step.gang, defaults.gang);
    addUnlessDefault(document, "same_rack", step.sameRack, defaults.sameRack);
    addUnlessDefault(document, "required_label", step.requiredLabel, defaults.requiredLabel);
    addUnlessDefault(document, "data_rack", step.dataRack, defaults.dataRack);
    addUnlessDefault(document, "per_worker_limit", step.perWorkerLimit, defaults.perWorkerLimit);
    addUnlessDefault(document, "speculative", step.speculative, defaults.speculative);
    addUnlessDefault(document, "lasting", step.longRunning, defaults.longRunning);
    addUnlessDefault(document, "image", step.image, defaults.image);
    addUnlessDefault(document, "tail_target_ms", step.tailTarget.count(), defaults.tailTarget.count());
    addUnlessDefault(document, "backfills", step.backfills, defaults.backfills);
    addUnlessDefault(document, "disruption_budget", step.disruptionBudget, defaults.disruptionBudget);
    return document;
}

StepSpecification parseStep(const Json &document)
{
    StepSpecification step;
    step.count = memberOr(document, "count", step.count);
    step.demand = {memberOr(document, "millicores", std::int64_t {0}),
        memberOr(document, "memory_mb", std::int64_t {0}), memberOr(document, "accelerators", std::int64_t {0})};
    step.estimate = Milliseconds(memberOr(document, "estimate_ms", std::int64_t {0}));
    step.after = memberOr(document, "after", step.after);
    step.checkpoints = memberOr(document, "checkpoints", step.checkpoints);
    step.gang = memberOr(document, "gang", step.gang);
    step.sameRack = memberOr(document, "same_rack", step.sameRack);
    step.requiredLabel = memberOr(document, "required_label", step.requiredLabel);
    step.dataRack = memberOr(document, "data_rack", step.dataRack);
    step.perWorkerLimit = memberOr(document, "per_worker_limit", step.perWorkerLimit);
    step.speculative = memberOr(document, "speculative", step.speculative);
    step.longRunning = memberOr(document, "lasting", step.longRunning);
    step.image = memberOr(document, "image", step.image);
    step.tailTarget = Milliseconds(memberOr(document, "tail_target_ms", std::int64_t {0}));
    step.backfills = memberOr(document, "backfills", step.backfills);
    step.disruptionBudget = memberOr(document, "disruption_budget", step.disruptionBudget);
    return step;
}

}

std::int64_t JobSpecification::taskCount() const
{
    return std::accumulate(steps.begin(), steps.end(), std::int64_t {0},
        [](std::int64_t count, const StepSpecification &step) { return count + step.count; });
}

bool JobSpecification::isLongRunning() const
{
    return std::any_of(steps.begin(), steps.end(), [](const StepSpecification &step) { return step.longRunning; });
}

std::int64_t JobSpecification::dueTime(std::int64_t occurrence) const
{
    return repeatCount == 0 ? 0 : firstRun + occurrence * interval;
}

Json describe(const JobSpecification &job)
{
    Json steps = Json::array();
    for (const StepSpecification &step : job.steps) {
        steps.push_back(describe(step));
    }
    Json document = {{"id", job.id}, {"queue", job.queue}, {"payload", job.payload}, {"steps", std::move(steps)}};
    addUnlessDefault(document, "repeat_count", job.repeatCount, std::int64_t {0});
    addUnlessDefault(document, "first_run_ms", job.firstRun, std::int64_t {0});
    addUnlessDefault(document, "interval_ms", job.interval, std::int64_t {0});
    return document;
}

Result<JobSpecification> parseJobSpecification(const Json &document)
{
    if (!document.is_object()) {
        return invalid("the job is not a JSON object", "send an object with id, queue and steps");
    }
    JobSpecification job;
    job.id = memberOr(document, "id", std::string());
    job.queue = memberOr(document, "queue", std::string());
    job.payload = memberOr(document, "payload", std::string());
    for (const Json &step : memberOr(document, "steps", Json::array())) {
        job.steps.push_back(parseStep(step));
    }
    job.repeatCount = memberOr(document, "repeat_count", std::int64_t {0});
    job.firstRun = memberOr(document, "first_run_ms", std::int64_t {0});
    job.interval = memberOr(document, "interval_ms", std::int64_t {0});
    const Status status = validate(job);
    if (const Error *error = errorOf(status)) {
        return *error;
    }
    return job;
}

Status validate(const JobSpecification &job)
{
    if (job.id.empty() || job.queue.empty()) {
        return invalid("the job has no id or no queue", "set both id and queue");
    }
    if (job.steps.empty() || job.steps.size() > MaximumSteps) {
        return invalid(
            "a job must have 1 to " + std::to_string(MaximumSteps) + " steps", "add a step or split the job");
    }
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const StepSpecification &step = job.steps[number];
        const std::string name = "step " + std::to_string(number);
        if (step.count < 1 || step.count > MaximumTasks) {
            return invalid(
                name + " has an invalid count", "set count to 1 to " + std::to_string(MaximumTasks) + " tasks");
        }
        if (step.demand.milliCores < 0 || step.demand.memoryMegabytes < 0 || step.demand.accelerators < 0) {
            return invalid(
                name + " has a negative resource demand", "set millicores, memory_mb and accelerators to 0 or more");
        }
        if (!step.demand.fitsInto({MaximumAmount, MaximumAmount, MaximumAmount})) {
            return invalid(name + " has a resource demand that no worker can meet",
                "set millicores, memory_mb and accelerators to at most " + std::to_string(MaximumAmount));
        }
        if (step.estimate > MaximumTime || step.tailTarget > MaximumTime) {
            return invalid(name + " has an estimate or a tail target that is too long",
                "set both to at most " + std::to_string(MaximumTime.count()) + " ms");
        }
        for (const int earlier : step.after) {
            if (earlier < 0 || static_cast<std::size_t>(earlier) >= number) {
                return invalid(
                    name + " depends on step " + std::to_string(earlier), "list only earlier steps in after");
            }
        }
    }
    if (job.taskCount() > MaximumTasks) {
        return invalid("the steps have more than " + std::to_string(MaximumTasks) + " tasks in all", "split the job");
    }
    if (job.firstRun < 0 || job.firstRun > MaximumWallTime || job.interval < 0
        || job.interval > MaximumWallTime / std::max<std::int64_t>(1, job.repeatCount)) {
        return invalid("a run of the repeated job is due at a time that is out of range",
            "set first_run_ms and all later times to 0 to " + std::to_string(MaximumWallTime));
    }
    if (job.repeatCount < 0 || (job.repeatCount > 1 && job.interval <= 0)) {
        return invalid("a repeated job needs a positive interval", "set interval_ms to more than 0");
    }
    return std::monostate();
}

}
