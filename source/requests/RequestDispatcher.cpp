#include "requests/RequestDispatcher.h"

namespace Wagtail
{

namespace
{

constexpr double LatencySmoothingFactor = 0.1;
constexpr int FailuresBeforeAvoidance = 5;
constexpr int FirstServerError = 500;
constexpr Milliseconds MinimumAvoidance {1'000};
constexpr Milliseconds MaximumAvoidance {30'000};

RequestResult notRun(ErrorKind kind, std::string detail, std::string remedy)
{
    return {Outcome::NotRun, 0, {}, {}, {kind, std::move(detail), std::move(remedy)}};
}

RequestResult noRoom()
{
    return notRun(ErrorKind::NoRoom, "no worker of this instance has free capacity", "send the request again shortly");
}

RequestResult deadlineExceeded()
{
    return notRun(ErrorKind::DeadlineExceeded, "the deadline would pass before the request could be answered",
        "set a later deadline, or send the request again when the load is lower");
}

}

RequestDispatcher::RequestDispatcher(Context context) : m_context(context)
{
}

Demand RequestDispatcher::demandOf(const Profile &profile)
{
    return {profile.resources, 1, profile.name};
}

std::string RequestDispatcher::holderOf(const PendingRequest &pending)
{
    return pending.request.identity + "#" + std::to_string(pending.attempt);
}

void RequestDispatcher::submit(UrgentRequest request, Handler handler)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->request = std::move(request);
    pending->handler = std::move(handler);
    pending->submittedAt = m_context.clock.now();
    m_profiles[pending->request.profile->name].budget.deposit();
    if (willMissDeadline(*pending)) {
        finish(*pending, deadlineExceeded());
        return;
    }
    if (trySend(pending)) {
        return;
    }
    if (pending->request.queueUntil <= pending->submittedAt) {
        finish(*pending, noRoom());
        return;
    }
    enqueue(pending);
}

std::int64_t RequestDispatcher::remainingMilliseconds(const PendingRequest &pending) const
{
    return std::chrono::duration_cast<Milliseconds>(pending.request.deadline - m_context.clock.now()).count();
}

bool RequestDispatcher::willMissDeadline(const PendingRequest &pending) const
{
    constexpr double MillisecondsPerSecond = 1000.0;
    const auto state = m_profiles.find(pending.request.profile->name);
    const double expected = state == m_profiles.end() ? 0 : state->second.expectedSeconds * MillisecondsPerSecond;
    const std::int64_t remaining = remainingMilliseconds(pending);
    return remaining <= 0 || static_cast<double>(remaining) < expected / 2;
}

bool RequestDispatcher::trySend(const std::shared_ptr<PendingRequest> &pending)
{
    PlacementQuery query;
    query.demand = demandOf(*pending->request.profile);
    query.excluded = pending->excludedWorkers;
    const Instant now = m_context.clock.now();
    for (const auto &[worker, health] : m_health) {
        if (health.avoidUntil > now) {
            query.excluded.insert(worker);
        }
    }
    for (Fleet *fleet : m_context.fleets.fleets()) {
        const std::optional<std::string> worker = m_context.placement.choose(*fleet, query);
        if (!worker) {
            continue;
        }
        ++pending->attempt;
        if (fleet->reserve(*worker, holderOf(*pending), query.demand)) {
            send(pending, *fleet->find(*worker));
            return true;
        }
    }
    return false;
}

void RequestDispatcher::send(const std::shared_ptr<PendingRequest> &pending, const FleetWorker &worker)
{
    pending->worker = worker.description.name;
    pending->colocated = worker.runningByProfile;
    --pending->colocated[pending->request.profile->name];
    pending->sentAt = m_context.clock.now();
    ++m_running;
    RequestAttempt attempt;
    attempt.request = pending->request.identity;
    attempt.attempt = pending->attempt;
    attempt.profile = pending->request.profile->name;
    attempt.workerAddress = worker.description.address;
    attempt.token = worker.token;
    attempt.idempotent = pending->request.profile->repeatability == Repeatability::Idempotent;
    attempt.timeoutMilliseconds = remainingMilliseconds(*pending);
    attempt.body = pending->request.body;
    m_context.timeline.record(
        {.kind = "request.sent", .request = pending->request.identity, .worker = pending->worker});
    m_context.sender.send(std::move(attempt), [this, pending](RequestResult result) {
        m_context.scheduler.post(
            [this, pending, result = std::move(result)]() mutable { onResult(pending, std::move(result)); });
    });
}

void RequestDispatcher::onResult(const std::shared_ptr<PendingRequest> &pending, RequestResult result)
{
    --m_running;
    for (Fleet *fleet : m_context.fleets.fleets()) {
        fleet->release(holderOf(*pending));
    }
    recordAttempt(*pending, result);
    pending->mayHaveRun = pending->mayHaveRun || result.outcome != Outcome::NotRun;
    if (result.outcome != Outcome::Done) {
        m_context.timeline.record({.kind = "request.attempt-failed",
            .request = pending->request.identity,
            .worker = pending->worker,
            .detail = result.error.detail});
    }
    if (mayRetry(*pending, result)) {
        pending->excludedWorkers.insert(pending->worker);
        if (!trySend(pending)) {
            // No other worker has capacity. The request still has time, so it may go to the failed workers again.
            pending->excludedWorkers.clear();
            enqueue(pending);
        }
    } else {
        finish(*pending, std::move(result));
    }
    dispatchQueued();
}

bool RequestDispatcher::mayRetry(const PendingRequest &pending, const RequestResult &result)
{
    const Profile &profile = *pending.request.profile;
    const bool serverError = result.outcome == Outcome::Done && result.status >= FirstServerError;
    const bool idempotent = profile.repeatability == Repeatability::Idempotent;
    const bool retryable
        = result.outcome == Outcome::NotRun || (idempotent && (result.outcome == Outcome::Unknown || serverError));
    if (!retryable || pending.attempt >= static_cast<std::uint64_t>(profile.maximumAttempts)
        || willMissDeadline(pending)) {
        return false;
    }
    return m_profiles[profile.name].budget.tryWithdraw();
}

void RequestDispatcher::recordAttempt(const PendingRequest &pending, const RequestResult &result)
{
    WorkerHealth &health = m_health[pending.worker];
    const Instant now = m_context.clock.now();
    if (result.outcome == Outcome::Done && result.status < FirstServerError) {
        health = WorkerHealth();
        const double seconds = std::chrono::duration<double>(now - pending.sentAt).count();
        double &expected = m_profiles[pending.request.profile->name].expectedSeconds;
        expected += LatencySmoothingFactor * (seconds - expected);
        m_context.observe(pending.worker, pending.request.profile->name, pending.colocated, seconds);
        m_context.metrics.observe(
            "wagtail_worker_seconds", "profile=\"" + pending.request.profile->name + "\"", seconds);
        return;
    }
    if (++health.consecutiveFailures < FailuresBeforeAvoidance) {
        return;
    }
    health.avoidDuration = std::min(MaximumAvoidance, std::max(MinimumAvoidance, health.avoidDuration * 2));
    health.avoidUntil = now + health.avoidDuration;
    // A single further failure after the pause starts the next, longer one.
    health.consecutiveFailures = FailuresBeforeAvoidance - 1;
    m_context.timeline.record({.kind = "worker.avoided",
        .worker = pending.worker,
        .detail = std::to_string(health.avoidDuration.count()) + " ms after repeated failures"});
}

void RequestDispatcher::enqueue(const std::shared_ptr<PendingRequest> &pending)
{
    ProfileState &state = m_profiles[pending->request.profile->name];
    if (state.queue.size() >= static_cast<std::size_t>(pending->request.profile->queueLimit)) {
        finish(*pending,
            notRun(ErrorKind::Overloaded, "the queue of profile " + pending->request.profile->name + " is full",
                "send the request again after the time in Retry-After"));
        return;
    }
    state.queue.emplace(pending->request.deadline, pending);
    ++m_queued;
    m_context.timeline.record({.kind = "request.queued", .request = pending->request.identity});
}

void RequestDispatcher::dispatchQueued()
{
    if (m_queued == 0) {
        return;
    }
    for (auto &[name, state] : m_profiles) {
        while (!state.queue.empty()) {
            const std::shared_ptr<PendingRequest> pending = state.queue.begin()->second;
            const bool missesDeadline = willMissDeadline(*pending);
            if (!missesDeadline && !trySend(pending)) {
                break;
            }
            state.queue.erase(state.queue.begin());
            --m_queued;
            if (missesDeadline) {
                finish(*pending, deadlineExceeded());
            }
        }
    }
}

void RequestDispatcher::expireQueued()
{
    const Instant now = m_context.clock.now();
    std::vector<std::shared_ptr<PendingRequest>> expired;
    for (auto &[name, state] : m_profiles) {
        std::erase_if(state.queue, [&expired, now](const auto &item) {
            const bool isExpired = item.second->request.queueUntil <= now;
            if (isExpired) {
                expired.push_back(item.second);
            }
            return isExpired;
        });
    }
    m_queued -= expired.size();
    for (const std::shared_ptr<PendingRequest> &pending : expired) {
        finish(*pending, willMissDeadline(*pending) ? deadlineExceeded() : noRoom());
    }
}

void RequestDispatcher::tick()
{
    dispatchQueued();
    if (m_queued > 0) {
        expireQueued();
    }
}

void RequestDispatcher::finish(const PendingRequest &pending, RequestResult result)
{
    if (result.outcome == Outcome::NotRun && pending.mayHaveRun) {
        result.outcome = Outcome::Unknown;
    }
    const std::string outcome(nameOf(result.outcome));
    const std::string &profile = pending.request.profile->name;
    const double seconds = std::chrono::duration<double>(m_context.clock.now() - pending.submittedAt).count();
    m_context.metrics.observe(
        "wagtail_request_seconds", "profile=\"" + profile + "\",outcome=\"" + outcome + "\"", seconds);
    m_context.timeline.record(
        {.kind = "request." + outcome, .request = pending.request.identity, .worker = pending.worker});
    pending.handler(std::move(result));
}

std::size_t RequestDispatcher::queuedCount() const
{
    return m_queued;
}

std::size_t RequestDispatcher::runningCount() const
{
    return m_running;
}

}
