#pragma once

#include "scheduling/JobRank.h"
#include "scheduling/WorkerState.h"

#include <set>

namespace Wagtail
{

// How far a probe may go. A probe is a backfilling task that starts at a reduced speed on a worker that the predicted
// interference rules out.
enum class ProbeKind {
    // The prediction for the reduced speed leaves each serving task some distance to its limit.
    Cautious,
    // The load of each serving task is some distance below its limit without the probe, whatever the prediction says.
    Overdue,
    // The same for a job that has nothing running. Its worker may run other probes. Where serving tasks are close to
    // their limits by themselves, it starts nevertheless and works in trials. See ProbeTrial.
    Starved,
};

[[nodiscard]] std::string_view nameOf(ProbeKind kind);

// Returns the kind of probe as which a task may start that has not worked for the given time, or nothing if it has to
// wait for a worker that is not ruled out. This bounds the time for which a prediction can keep a task waiting: what it
// is based on can only be corrected by tasks that run.
// Load pattern: a few backfilling tasks beside serving tasks with a steady load on most workers.
[[nodiscard]] std::optional<ProbeKind> probeKindAfter(Milliseconds idleFor);

// Returns how long a job may have nothing running until one of its tasks starts as a probe, however much of the pool's
// processors is used. Where capacity is short, jobs that are late wait longer for those on time.
[[nodiscard]] Milliseconds starvedProbeDelay(JobTier tier, bool onTimeJobsWait, bool isCapacityShort);

// Returns the speed at which a task that asks for the given share of a worker's processors starts as a probe. Its use
// is large enough to learn from.
[[nodiscard]] int probeSpeed(double demand);

// Returns whether a probe runs on the worker.
[[nodiscard]] bool runsProbe(const WorkerState &worker);

// Returns whether each serving task has some distance to its limit, with all other tasks at their permitted speed.
[[nodiscard]] bool hasHeadroomForProbe(const BackfillInterferenceModel &model,
    const std::vector<ServingSample> &serving, const std::vector<BackfillSample> &backfilling);

// Returns whether a serving task is close to its limit, or over it, without the backfilling tasks beside it, given
// whether it was so at the last report. It is known while none of them works, and else where the growth of load that
// the model expects of them does not explain it.
[[nodiscard]] bool isNearLimitByItself(
    const BackfillInterferenceModel &model, const ServingSample &sample, const BackfillUse &use, bool before);

// Returns whether a probe of a starved job may work, for the length of a trial, beside the serving tasks of a worker
// that leave it no headroom.
[[nodiscard]] bool mayTryProbe(const BackfillInterferenceModel &model, const WorkerState &worker, Instant now);

// Returns predictedExcessLoad() for a probe of the given image and demand at its reduced speed, or nothing if the
// worker may not take the probe.
[[nodiscard]] std::optional<double> probeExcessLoad(
    const BackfillInterferenceModel &model, const WorkerState &worker, ImageId image, double demand, ProbeKind kind);

// Returns the pools at least half of whose processors are in use on the workers that take tasks, as callers count them:
// by what tasks ask for, without backfilling tasks.
[[nodiscard]] std::set<std::string> poolsShortOfCapacity(
    const std::map<std::string, WorkerState> &workers, Instant now);

// Returns the pools at least half of whose processors are unused on the workers that take tasks. In other pools, tasks
// wait for a lack of room, which probes would not change.
[[nodiscard]] std::set<std::string> poolsWithRoomForProbes(
    const std::map<std::string, WorkerState> &workers, Instant now);

}
