#include "scheduling/BackfillProbe.h"

#include "scheduling/WorkerChoice.h"

#include <algorithm>
#include <cmath>

namespace Wagtail
{

namespace
{

// A serving load that swings within seconds often lets a task in before the first time is over. The second one leaves
// an overdue task some seconds until callers expect it to run.
constexpr Milliseconds CautiousProbeDelay {3'000};
constexpr Milliseconds OverdueProbeDelay {8'000};
// Where under half of a pool's capacity is in use, callers expect an accepted job to have something running within
// three seconds. This leaves time for the start. The same holds for jobs that can't meet their objective any more,
// while none waits that can.
constexpr Milliseconds BoundedProbeDelay {2'000};
// Distance from the load limit that probes leave. Closer to the limit they would be throttled at the next report.
constexpr double ProbeMargin = 0.05;
// The use of a probe, as a share of its worker. It is twice the least change of use that the interference model learns
// from, because the change may be spread over two reports.
constexpr double ProbeUse = 0.08;
// Probes that work in a trial on one worker. Together they use at most a quarter of it.
constexpr std::ptrdiff_t MostProbesOnTrial = 3;
constexpr double FullSpeedPercent = 100.0;
// Below its lowest speed, a throttled task would be paused.
constexpr double LowestProbeSpeedPercent = 15.0;

// Returns whether a serving task has some distance to its limit, with all backfilling tasks at their permitted speed.
bool hasHeadroomBeside(
    const BackfillInterferenceModel &model, const ServingSample &sample, const std::vector<BackfillSample> &backfilling)
{
    const double load = sample.load + pendingLoadGrowth(model, sample.image, backfilling);
    return sample.overTargetMilliseconds == 0 && load < sample.limit - ProbeMargin;
}

// Returns how many probes on the worker are not paused.
std::ptrdiff_t workingProbes(const WorkerState &worker)
{
    return std::count_if(worker.tasks.begin(), worker.tasks.end(),
        [](const TaskState *task) { return task->isProbe && task->speedPercent > 0; });
}

}

bool runsProbe(const WorkerState &worker)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [](const TaskState *task) { return task->isProbe; });
}

std::string_view nameOf(ProbeKind kind)
{
    switch (kind) {
    case ProbeKind::Cautious:
        return "cautious";
    case ProbeKind::Overdue:
        return "overdue";
    case ProbeKind::Starved:
        return "starved";
    }
    return "unknown";
}

std::optional<ProbeKind> probeKindAfter(Milliseconds idleFor)
{
    if (idleFor < CautiousProbeDelay) {
        return std::nullopt;
    }
    return idleFor < OverdueProbeDelay ? ProbeKind::Cautious : ProbeKind::Overdue;
}

Milliseconds starvedProbeDelay(JobTier tier, bool onTimeJobsWait, bool isCapacityShort)
{
    const bool isLate = tier == JobTier::Late || tier == JobTier::Expired;
    return !isCapacityShort || (isLate && !onTimeJobsWait) ? BoundedProbeDelay : OverdueProbeDelay;
}

int probeSpeed(double demand)
{
    if (demand <= 0.0) {
        return static_cast<int>(FullSpeedPercent);
    }
    const double percent = std::ceil(FullSpeedPercent * ProbeUse / demand);
    return static_cast<int>(std::clamp(percent, LowestProbeSpeedPercent, FullSpeedPercent));
}

bool hasHeadroomForProbe(const BackfillInterferenceModel &model, const std::vector<ServingSample> &serving,
    const std::vector<BackfillSample> &backfilling)
{
    return std::all_of(serving.begin(), serving.end(),
        [&](const ServingSample &sample) { return hasHeadroomBeside(model, sample, backfilling); });
}

bool isNearLimitByItself(
    const BackfillInterferenceModel &model, const ServingSample &sample, const BackfillUse &use, bool before)
{
    const double threshold = sample.limit - ProbeMargin;
    if (sample.overTargetMilliseconds == 0 && sample.load < threshold) {
        return false;
    }
    return before || sample.load - model.loadGrowth(sample.image, use) >= threshold;
}

bool mayTryProbe(const BackfillInterferenceModel &model, const WorkerState &worker, Instant now)
{
    const bool isOpen = worker.trial.isOpen(now) && workingProbes(worker) < MostProbesOnTrial;
    return (isOpen || worker.trial.mayBegin(now))
        && std::all_of(worker.serving.begin(), worker.serving.end(), [&](const ServingSample &sample) {
               return sample.isNearLimitByItself || hasHeadroomBeside(model, sample, worker.backfilling);
           });
}

std::optional<double> probeExcessLoad(
    const BackfillInterferenceModel &model, const WorkerState &worker, ImageId image, double demand, ProbeKind kind)
{
    // The effects of several probes on one worker could not be told apart.
    const bool isAlone = kind == ProbeKind::Starved || !runsProbe(worker);
    if (!isAlone || !hasHeadroomForProbe(model, worker.serving, worker.backfilling)) {
        return std::nullopt;
    }
    const double use = demand * probeSpeed(demand) / FullSpeedPercent;
    const double excess = predictedExcessLoad(model, worker.serving, worker.backfilling, image, use);
    if (kind == ProbeKind::Cautious && excess > -ProbeMargin) {
        return std::nullopt;
    }
    return excess;
}

std::set<std::string> poolsWithRoomForProbes(const std::map<std::string, WorkerState> &workers, Instant now)
{
    struct Processors
    {
        std::int64_t all = 0;
        std::int64_t used = 0;
    };
    std::map<std::string, Processors> pools;
    for (const auto &[name, worker] : workers) {
        if (acceptsTasks(worker, now)) {
            Processors &processors = pools[worker.listing.pool];
            processors.all += worker.listing.capacity.milliCores;
            processors.used += worker.expectedMilliCores;
        }
    }
    std::set<std::string> withRoom;
    for (const auto &[pool, processors] : pools) {
        if (processors.used <= processors.all / 2) {
            withRoom.insert(pool);
        }
    }
    return withRoom;
}

std::set<std::string> poolsShortOfCapacity(const std::map<std::string, WorkerState> &workers, Instant now)
{
    struct Processors
    {
        std::int64_t all = 0;
        std::int64_t used = 0;
    };
    std::map<std::string, Processors> pools;
    for (const auto &[name, worker] : workers) {
        if (acceptsTasks(worker, now)) {
            Processors &processors = pools[worker.listing.pool];
            processors.all += worker.listing.capacity.milliCores;
            processors.used += worker.used.milliCores;
        }
    }
    std::set<std::string> shortPools;
    for (const auto &[pool, processors] : pools) {
        if (processors.used * 2 >= processors.all) {
            shortPools.insert(pool);
        }
    }
    return shortPools;
}

}
