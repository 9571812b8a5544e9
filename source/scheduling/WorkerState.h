#pragma once

#include "scheduling/BackfillThrottle.h"
#include "scheduling/HeldPlaces.h"
#include "scheduling/JobState.h"
#include "scheduling/LateReportRequests.h"
#include "scheduling/LateStarts.h"
#include "scheduling/ObsoleteRuns.h"
#include "scheduling/ProbeTrial.h"
#include "scheduling/UnsettledStarts.h"
#include "scheduling/WorkerClock.h"
#include "scheduling/WorkerGateway.h"

#include <map>
#include <set>

namespace Wagtail
{

// A run whose worker stopped answering until its lease had expired. It counts as crashed if the worker is proven to
// have crashed, and does not if the worker answers again.
struct LostRun
{
    RunName run;
    // The incarnation of the worker that ran it.
    std::int64_t incarnation = 0;
    CrashTiming timing = CrashTiming::Unknown;
    Instant lostAt;
};

// What the scheduler knows about one worker.
struct WorkerState
{
    WorkerListing listing;
    // Whether the platform currently lists the worker, and if not, since when it doesn't or was found not to.
    bool listed = false;
    Instant unlistedSince;
    // Whether the worker has answered under this leader term, and therefore rejects orders of earlier terms.
    bool hasAnswered = false;
    WorkerClock clock;
    std::int64_t incarnation = 0;
    // The latest lease expiry, on the worker's clock, of any run of this leader term.
    std::int64_t leaseGrantedUntil = 0;
    // By when the leases that owners of earlier leader terms granted have surely expired, and those that the worker
    // gave to runs that reached it before its restart was known.
    Instant priorLeaseExpiresAt;
    // When the worker last answered a report request, or when such a request failed.
    Instant lastAnswer;
    // When the worker last gave an answer of any kind.
    Instant lastContact;
    // When the last report request was sent that the worker has answered at its present address.
    Instant answeredRequestSentAt;
    int consecutiveUnanswered = 0;
    bool reportPending = false;
    // Since when the owner of this leader term knows that the worker drains, and whether it was not draining before. If
    // it was, it may leave at any moment.
    std::optional<Instant> drainingSince;
    bool sawDrainBegin = false;
    // Whether a report has been applied since the last evacuation.
    bool hasNewReport = false;
    // Numbers of the last run ends of this worker that were applied and that the store has recorded.
    std::uint64_t appliedEnd = 0;
    std::uint64_t recordedEnd = 0;
    // Number of the end up to which the pending report request lets the worker remove ends from its list, and up to
    // which it has removed them.
    std::uint64_t sentAcknowledgement = 0;
    std::uint64_t acknowledgedEnd = 0;
    // Whether the pending report request renews the leases.
    bool sentRenewal = false;
    LateReportRequests lateRequests;
    LateStarts lateStarts;
    // The tasks of the run ends that have been applied and not recorded, by the number of the end.
    std::map<std::uint64_t, TaskName> unrecordedEnds;
    // Tasks whose current run is assigned to this worker, in any phase.
    std::set<TaskState *> tasks;
    // Runs that are not the current run of any task and that may take room on the worker now or later.
    ObsoleteRuns obsoleteRuns;
    std::vector<LostRun> lostRuns;
    // Start orders of which it is not known which incarnation they reached, whether their runs are still wanted or not.
    UnsettledStarts unsettledStarts;
    // Room for tasks on their way from draining workers. It is neither used nor free.
    HeldPlaces heldPlaces;
    Resources used;
    // The part of the used resources that long-running tasks hold.
    Resources usedByLongRunning;
    // The processors that the tasks are expected to use, in thousandths of a core.
    std::int64_t expectedMilliCores = 0;
    // Number of serving tasks by image.
    std::map<ImageId, int> servingImages;
    // Failures of different jobs since the last success.
    int consecutiveFailures = 0;
    std::string lastFailedJob;
    Instant quarantinedUntil;
    int quarantineCount = 0;
    // Set when the worker rejected a start for lack of resources, until its next report.
    bool refusedForCapacity = false;
    // Serving tasks, backfilling tasks and the processors in use by the latter, as of the last report at sampledAt. The
    // time is missing if no report has arrived since the worker's capacity last changed.
    std::vector<ServingSample> serving;
    std::vector<BackfillSample> backfilling;
    BackfillUse backfillUse;
    std::optional<Instant> sampledAt;
    ProbeTrial trial;

    // A worker that left this many consecutive report requests unanswered counts as unreachable.
    static constexpr int UnansweredBeforeUnreachable = 3;
    [[nodiscard]] bool isUnreachable() const;

    // Returns when the last lease of this and of earlier leader terms has surely expired, or nothing if none is known.
    [[nodiscard]] std::optional<Instant> leaseExpiry() const;

    // Returns whether the worker is alive although the platform does not list it. Its entry may have lapsed during an
    // outage of the store and come back.
    [[nodiscard]] bool mayBeListedAgain(Instant now) const;

    // Returns whether the worker may be alive as far as the platform's list shows. An entry that lapsed during an
    // outage of the store may come back.
    [[nodiscard]] bool mayBeAlive(Instant now) const;

    // Returns whether run ends have been applied that the store does not have yet.
    [[nodiscard]] bool hasUnrecordedEnds() const;

    // Returns whether the pending report request lets the worker remove ends from its list.
    [[nodiscard]] bool isAcknowledging() const;

    // Returns whether the worker may yet carry out a request that lets it remove ends from its list. An incarnation
    // that is not known yet would remove ends that nobody has read.
    [[nodiscard]] bool mayForgetEnds(Instant now) const;

    // Returns whether anything may run on the worker now or without a further start order of this leader term.
    [[nodiscard]] bool mayRunTasks() const;

    // Returns the resources that a task of the step takes on a worker. The processors of backfilling tasks do not
    // count.
    [[nodiscard]] static Resources countedDemand(const StepSpecification &step);

    // Returns whether the platform lists a later incarnation than the last one that has answered.
    [[nodiscard]] bool isRestartListed() const;

    // Returns whether a later incarnation has answered than the one that the platform lists.
    [[nodiscard]] bool isListingOutdated() const;

    // Replaces the listing. If the worker has other processors now, the shares in its samples change accordingly.
    void updateListing(const WorkerListing &present);

    // Returns the capacity less the resources in use and those of held places. Members are negative while a worker
    // whose capacity has shrunk still runs more than fits into it, and while places are held that batch tasks still
    // use.
    [[nodiscard]] Resources freeResources() const;

    // Returns whether the assigned tasks need more of any resource than the worker has.
    [[nodiscard]] bool isOverCapacity() const;

    // Returns the resources that long-running tasks and the places held for them leave free. All other tasks end by
    // themselves.
    [[nodiscard]] Resources freeBesideLongRunning() const;

    // Adds or removes a task and the resources it takes. Adding a task twice or removing an unknown one has no effect.
    void addTask(TaskState &task);
    void removeTask(TaskState &task);

    // Returns the share of the worker's processors that a task of the step asks for.
    [[nodiscard]] double processorShare(const StepSpecification &step) const;

private:
    void count(const StepState &step, int sign);
};

}
