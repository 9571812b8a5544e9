#include "scheduling/WorkerState.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Serving tasks use about half of the processors that they ask for. Backfilling tasks may use the rest.
constexpr double ServingUseShare = 0.5;
// Entries of live workers that lapsed during an outage of the store are back two seconds after it. The owner learns of
// them within another second.
constexpr Milliseconds LongestRelisting {3'000};

}

bool WorkerState::isUnreachable() const
{
    return consecutiveUnanswered >= UnansweredBeforeUnreachable;
}

std::optional<Instant> WorkerState::leaseExpiry() const
{
    const bool isGranted = leaseGrantedUntil > 0 && clock.isKnown();
    const Instant grantedLease = isGranted ? clock.expiryUpperBound(leaseGrantedUntil) : Instant();
    const Instant unsettledLease = unsettledStarts.leaseExpiry().value_or(Instant());
    const Instant last = std::max({grantedLease, priorLeaseExpiresAt, unsettledLease});
    return last == Instant() ? std::nullopt : std::optional(last);
}

bool WorkerState::mayBeListedAgain(Instant now) const
{
    const bool isAlive = hasAnswered && consecutiveUnanswered == 0;
    return !listed && isAlive && !listing.draining && now - unlistedSince < LongestRelisting;
}

bool WorkerState::mayBeAlive(Instant now) const
{
    return listed || (!listing.draining && now - unlistedSince < LongestRelisting);
}

bool WorkerState::hasUnrecordedEnds() const
{
    return appliedEnd > recordedEnd;
}

bool WorkerState::isAcknowledging() const
{
    return reportPending && sentAcknowledgement > 0;
}

bool WorkerState::mayForgetEnds(Instant now) const
{
    return isAcknowledging() || now < lateRequests.acknowledgementsEndAt();
}

bool WorkerState::mayRunTasks() const
{
    return !tasks.empty() || !obsoleteRuns.isEmpty();
}

Resources WorkerState::countedDemand(const StepSpecification &step)
{
    Resources demand = step.demand;
    if (step.backfills) {
        demand.milliCores = 0;
    }
    return demand;
}

double WorkerState::processorShare(const StepSpecification &step) const
{
    const std::int64_t capacity = listing.capacity.milliCores;
    return capacity <= 0 ? 0.0 : static_cast<double>(step.demand.milliCores) / static_cast<double>(capacity);
}

bool WorkerState::isRestartListed() const
{
    return incarnation != 0 && listing.incarnation > incarnation;
}

bool WorkerState::isListingOutdated() const
{
    return listing.incarnation != 0 && listing.incarnation < incarnation;
}

void WorkerState::updateListing(const WorkerListing &present)
{
    const std::int64_t former = listing.capacity.milliCores;
    listing = present;
    if (former == listing.capacity.milliCores) {
        return;
    }
    // The next shares differ from the last ones although the tasks may use the same processors as before.
    sampledAt.reset();
    const double scale
        = static_cast<double>(former) / static_cast<double>(std::max<std::int64_t>(1, listing.capacity.milliCores));
    for (BackfillSample &sample : backfilling) {
        sample.demand *= scale;
        sample.use *= scale;
    }
}

Resources WorkerState::freeResources() const
{
    return listing.capacity - used - heldPlaces.resources();
}

bool WorkerState::isOverCapacity() const
{
    return !used.fitsInto(listing.capacity);
}

Resources WorkerState::freeBesideLongRunning() const
{
    return listing.capacity - usedByLongRunning - heldPlaces.resourcesOfLongRunning();
}

void WorkerState::addTask(TaskState &task)
{
    if (tasks.insert(&task).second) {
        count(*task.step, 1);
    }
}

void WorkerState::removeTask(TaskState &task)
{
    if (tasks.erase(&task) > 0) {
        count(*task.step, -1);
    }
}

void WorkerState::count(const StepState &step, int sign)
{
    const StepSpecification &specification = step.specification();
    const Resources demand = countedDemand(specification);
    const bool hasTail = specification.tailTarget.count() > 0;
    const double use = static_cast<double>(specification.demand.milliCores) * (hasTail ? ServingUseShare : 1.0);
    used = sign > 0 ? used + demand : used - demand;
    expectedMilliCores += sign * static_cast<std::int64_t>(use);
    if (specification.longRunning) {
        usedByLongRunning = sign > 0 ? usedByLongRunning + demand : usedByLongRunning - demand;
    }
    if (hasTail) {
        int &present = servingImages[step.image];
        present += sign;
        if (present == 0) {
            servingImages.erase(step.image);
        }
    }
}

}
