#pragma once

#include "jobs/tests/PartitionSimulation.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Wagtail
{

// One run of an attempt on a worker.
struct TaskRun
{
    std::string worker;
    std::string task;
    std::uint64_t attempt = 0;
    std::int64_t started = 0;
    std::int64_t ended = 0;
    std::string state;
    std::string checkpoint;
    std::string resumedFrom;
};

// Returns all runs that took place, from the histories of the workers.
inline std::vector<TaskRun> collectRuns(const PartitionSimulation &simulation)
{
    std::vector<TaskRun> runs;
    for (const auto &worker : simulation.site.all()) {
        const Json history = worker->history();
        for (const char *list : {"ended", "running"}) {
            for (const Json &item : history[list]) {
                TaskRun run;
                run.worker = history["worker"];
                run.task = item["task"];
                run.attempt = item["attempt"];
                run.started = item["started"];
                run.ended = memberOr(item, "ended", history["now"].get<std::int64_t>());
                run.state = memberOr(item, "state", std::string("running"));
                run.checkpoint = memberOr(item, "checkpoint", std::string());
                run.resumedFrom = memberOr(item, "resumed_from", std::string());
                runs.push_back(std::move(run));
            }
        }
    }
    std::ranges::sort(runs, {}, [](const TaskRun &run) { return std::tuple(run.task, run.attempt, run.started); });
    return runs;
}

// Returns the attempts that a controller recorded as evicted.
inline std::set<TaskAttempt> recordedEvictions(const PartitionSimulation &simulation)
{
    std::set<TaskAttempt> evictions;
    for (const auto &instance : simulation.instances) {
        for (const TimelineEvent &event : instance->timeline.select({.kind = "task.released", .most = 100'000})) {
            std::uint64_t attempt = 0;
            if (std::sscanf(event.detail.c_str(), "attempt %lu, evicted", &attempt) == 1
                && event.detail.find("evicted") != std::string::npos) {
                evictions.insert({event.task, attempt});
            }
        }
    }
    return evictions;
}

// Checks that no attempt runs twice, that no task runs in two places at once or again after a run that may not be
// repeated, and that runs resume from the right checkpoint. Describes the first violation, or returns an empty text.
inline std::string checkRuns(const PartitionSimulation &simulation, const std::vector<TaskRun> &runs)
{
    const std::set<TaskAttempt> evictions = recordedEvictions(simulation);
    std::set<std::string> checkpoints {""};
    for (std::size_t i = 1; i < runs.size(); ++i) {
        const TaskRun &before = runs[i - 1];
        const TaskRun &run = runs[i];
        if (before.task != run.task) {
            checkpoints = {""};
            continue;
        }
        if (before.attempt == run.attempt) {
            return run.task + " attempt " + std::to_string(run.attempt) + " ran twice";
        }
        if (run.started < before.ended) {
            return run.task + " ran on " + before.worker + " and " + run.worker + " at once";
        }
        if (evictions.contains({before.task, before.attempt}) && run.resumedFrom != before.checkpoint) {
            return run.task + " resumed from '" + run.resumedFrom + "' and not from '" + before.checkpoint + "'";
        }
        // A run may resume from an older checkpoint if the worker became unreachable before the last one was recorded.
        checkpoints.insert(before.checkpoint);
        if (!checkpoints.contains(run.resumedFrom)) {
            return run.task + " resumed from '" + run.resumedFrom + "', which no earlier run wrote";
        }
        const bool once = simulation.specifications.at(run.task).repeatability == Repeatability::AtMostOnce;
        if (once && before.state != "stopped") {
            return run.task + " may run at most once but ran again after it was " + before.state;
        }
    }
    return {};
}

}
