#include "scheduling/JobSpecification.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr int MaximumSteps = 1'000;
constexpr int MaximumTasksPerStep = 100'000;

Error invalid(std::string detail, std::string remedy)
{
    return {ErrorKind::InvalidInput, std::move(detail), std::move(remedy)};
}

// Leaves out members that have their default value, which keeps the stored documents small.
template<typename Value> void add(Json &document, const char *name, const Value &value, const Value &usual)
{
    if (value != usual) {
        document[name] = value;
    }
}

Json describe(const StepSpecification &step)
{
    const StepSpecification usual;
    Json document = {{"count", step.count}, {"millicores", step.demand.milliCores},
        {"memory_mb", step.demand.memoryMegabytes}, {"estimate_ms", step.estimate.count()}};
    add(document, "accelerators", step.demand.accelerators, usual.demand.accelerators);
    add(document, "after", step.after, usual.after);
    add(document, "checkpoints", step.checkpoints, usual.checkpoints);
    add(document, "gang", step.gang, usual.gang);
    add(document, "same_rack", step.sameRack, usual.sameRack);
    add(document, "required_label", step.requiredLabel, usual.requiredLabel);
    add(document, "data_rack", step.dataRack, usual.dataRack);
    add(document, "per_worker_limit", step.perWorkerLimit, usual.perWorkerLimit);
    add(document, "speculative", step.speculative, usual.speculative);
    add(document, "lasting", step.longRunning, usual.longRunning);
    add(document, "image", step.image, usual.image);
    add(document, "tail_target_ms", step.tailTarget.count(), usual.tailTarget.count());
    add(document, "backfills", step.backfills, usual.backfills);
    add(document, "disruption_budget", step.disruptionBudget, usual.disruptionBudget);
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
    add(document, "repeat_count", job.repeatCount, std::int64_t {0});
    add(document, "first_run_ms", job.firstRun, std::int64_t {0});
    add(document, "interval_ms", job.interval, std::int64_t {0});
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
        return invalid("the job has no id or no queue", "name both");
    }
    if (job.steps.empty() || job.steps.size() > MaximumSteps) {
        return invalid("a job has 1 to " + std::to_string(MaximumSteps) + " steps", "split the job");
    }
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const StepSpecification &step = job.steps[number];
        const std::string name = "step " + std::to_string(number);
        if (step.count < 1 || step.count > MaximumTasksPerStep) {
            return invalid(
                name + " has no usable count", "give 1 to " + std::to_string(MaximumTasksPerStep) + " tasks");
        }
        if (step.demand.milliCores < 0 || step.demand.memoryMegabytes < 0 || step.demand.accelerators < 0) {
            return invalid(name + " asks for a negative amount", "give amounts of 0 or more");
        }
        for (const int earlier : step.after) {
            if (earlier < 0 || static_cast<std::size_t>(earlier) >= number) {
                return invalid(name + " depends on step " + std::to_string(earlier), "name earlier steps only");
            }
        }
    }
    if (job.repeatCount < 0 || (job.repeatCount > 1 && job.interval <= 0)) {
        return invalid("a repeated job needs a positive interval", "give interval_ms");
    }
    return std::monostate();
}

}
