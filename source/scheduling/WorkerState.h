#pragma once

#include "scheduling/JobState.h"
#include "scheduling/PaceControl.h"
#include "scheduling/WorkerClock.h"
#include "scheduling/WorkerGateway.h"

#include <map>
#include <set>

namespace Wagtail
{

// What the scheduler knows of one worker.
struct WorkerState
{
    WorkerListing listing;
    // Whether the platform's list has it at present.
    bool listed = false;
    // Whether it has answered under this tenure, and so refuses orders of earlier ones.
    bool contacted = false;
    WorkerClock clock;
    std::int64_t incarnation = 0;
    // The highest reading of the worker's clock up to which any run may hold a lease from this tenure.
    std::int64_t leaseGrantedUntil = 0;
    Instant lastAnswer;
    int unansweredInRow = 0;
    bool reportOpen = false;
    std::optional<Instant> drainingSince;
    std::uint64_t processedEnd = 0;
    std::uint64_t recordedEnd = 0;
    // Tasks whose present run is on this worker, whatever its phase.
    std::set<TaskState *> tasks;
    // Runs that the last report listed and that belong to no present run; their room is not known.
    std::set<RunName> strays;
    Resources used;
    // The part of what is used that lasting tasks hold.
    Resources usedByLasting;
    // The processors that the tasks are expected to use, in thousandths of a core.
    std::int64_t expectedUse = 0;
    // How many serving tasks of each image are here.
    std::map<ImageId, int> servingImages;
    // Failures of different jobs without a success between them.
    int failuresInRow = 0;
    std::string lastFailedJob;
    Instant quarantinedUntil;
    int quarantines = 0;
    // Set when the worker refused a start for want of room, until its next report.
    bool full = false;
    // What the last report showed of the tasks that disturb each other.
    std::vector<ServingReading> serving;
    std::vector<BackfillReading> backfilling;
    BackfillUse backfillUse;
    Instant readAt;

    // Returns what a task takes up here: backfilling tasks count with their memory only.
    [[nodiscard]] static Resources countedDemand(const StepSpecification &step);
    [[nodiscard]] Resources room() const;

    // Returns what lasting tasks leave; everything else ends by itself before long.
    [[nodiscard]] Resources roomBesideLasting() const;

    // Counts a task in, or out; a task that is counted already, or is not there, changes nothing.
    void hold(TaskState &task);
    void drop(TaskState &task);

    // Returns the share of the worker's processors that a task of the step asks for.
    [[nodiscard]] double shareOf(const StepSpecification &step) const;

private:
    void count(const StepState &step, int sign);
};

}
