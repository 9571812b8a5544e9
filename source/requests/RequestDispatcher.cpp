#include "requests/RequestDispatcher.h"

namespace Wagtail
{

namespace
{

constexpr double LearningRate = 0.1;
constexpr int FailuresToAvoid = 5;
constexpr int FirstServerError = 500;
constexpr Milliseconds FirstAvoidance {1'000};
constexpr Milliseconds LongestAvoidance {30'000};

RequestResult notRun(ErrorKind kind, std::string detail, std::string remedy)
{
    return {Outcome::NotRun, 0, {}, {}, {kind, std::move(detail), std::move(remedy)}};
}

RequestResult noRoom()
{
    return notRun(ErrorKind::NoRoom, "no owned worker has room", "send the request again shortly");
}

RequestResult deadlinePassed()
{
    return notRun(ErrorKind::DeadlineExceeded, "the deadline would pass before the request could be answered",
        "give a later deadline, or send the request when there is less load");
}

}

RequestDispatcher::RequestDispatcher(Context context) : m_context(context)
{
}

Demand RequestDispatcher::demandOf(const Profile &profile)
{
    return {profile.resources, 1, profile.name};
}

std::string RequestDispatcher::holderOf(const Call &call)
{
    return call.request.identity + "#" + std::to_string(call.attempt);
}

void RequestDispatcher::submit(UrgentRequest request, Handler handler)
{
    auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->handler = std::move(handler);
    call->since = m_context.clock.now();
    m_profiles[call->request.profile->name].budget.earn();
    if (isHopeless(*call)) {
        finish(*call, deadlinePassed());
        return;
    }
    if (trySend(call)) {
        return;
    }
    if (call->request.queueUntil <= call->since) {
        finish(*call, noRoom());
        return;
    }
    enqueue(call);
}

std::int64_t RequestDispatcher::remainingMilliseconds(const Call &call) const
{
    return std::chrono::duration_cast<Milliseconds>(call.request.deadline - m_context.clock.now()).count();
}

bool RequestDispatcher::isHopeless(const Call &call) const
{
    constexpr double MillisecondsPerSecond = 1000.0;
    const auto state = m_profiles.find(call.request.profile->name);
    const double expected = state == m_profiles.end() ? 0 : state->second.expectedSeconds * MillisecondsPerSecond;
    const std::int64_t remaining = remainingMilliseconds(call);
    return remaining <= 0 || static_cast<double>(remaining) < expected / 2;
}

bool RequestDispatcher::trySend(const std::shared_ptr<Call> &call)
{
    PlacementQuery query;
    query.demand = demandOf(*call->request.profile);
    query.excluded = call->refusedBy;
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
        ++call->attempt;
        if (fleet->reserve(*worker, holderOf(*call), query.demand)) {
            send(call, *fleet->find(*worker));
            return true;
        }
    }
    return false;
}

void RequestDispatcher::send(const std::shared_ptr<Call> &call, const FleetWorker &worker)
{
    call->worker = worker.description.name;
    call->beside = worker.runningByProfile;
    --call->beside[call->request.profile->name];
    call->sentAt = m_context.clock.now();
    ++m_running;
    RequestAttempt attempt;
    attempt.request = call->request.identity;
    attempt.attempt = call->attempt;
    attempt.profile = call->request.profile->name;
    attempt.workerAddress = worker.description.address;
    attempt.token = worker.token;
    attempt.idempotent = call->request.profile->repeatability == Repeatability::Idempotent;
    attempt.timeoutMilliseconds = remainingMilliseconds(*call);
    attempt.body = call->request.body;
    m_context.timeline.record({.kind = "request.sent", .request = call->request.identity, .worker = call->worker});
    m_context.sender.send(std::move(attempt), [this, call](RequestResult result) {
        m_context.scheduler.post(
            [this, call, result = std::move(result)]() mutable { onResult(call, std::move(result)); });
    });
}

void RequestDispatcher::onResult(const std::shared_ptr<Call> &call, RequestResult result)
{
    --m_running;
    for (Fleet *fleet : m_context.fleets.fleets()) {
        fleet->release(holderOf(*call));
    }
    learn(*call, result);
    call->mayHaveRun = call->mayHaveRun || result.outcome != Outcome::NotRun;
    if (result.outcome != Outcome::Done) {
        m_context.timeline.record({.kind = "request.attempt-failed",
            .request = call->request.identity,
            .worker = call->worker,
            .detail = result.error.detail});
    }
    if (mayRetry(*call, result)) {
        call->refusedBy.insert(call->worker);
        if (!trySend(call)) {
            // Every other worker is full: the refusals are no reason to give up a request that still has time.
            call->refusedBy.clear();
            enqueue(call);
        }
    } else {
        finish(*call, std::move(result));
    }
    drain();
}

bool RequestDispatcher::mayRetry(const Call &call, const RequestResult &result)
{
    const Profile &profile = *call.request.profile;
    const bool serverError = result.outcome == Outcome::Done && result.status >= FirstServerError;
    const bool idempotent = profile.repeatability == Repeatability::Idempotent;
    const bool worthwhile
        = result.outcome == Outcome::NotRun || (idempotent && (result.outcome == Outcome::Unknown || serverError));
    if (!worthwhile || call.attempt >= static_cast<std::uint64_t>(profile.maximumAttempts) || isHopeless(call)) {
        return false;
    }
    return m_profiles[profile.name].budget.spend();
}

void RequestDispatcher::learn(const Call &call, const RequestResult &result)
{
    WorkerHealth &health = m_health[call.worker];
    const Instant now = m_context.clock.now();
    if (result.outcome == Outcome::Done && result.status < FirstServerError) {
        health = WorkerHealth();
        const double seconds = std::chrono::duration<double>(now - call.sentAt).count();
        double &expected = m_profiles[call.request.profile->name].expectedSeconds;
        expected += LearningRate * (seconds - expected);
        m_context.observe(call.worker, call.request.profile->name, call.beside, seconds);
        m_context.metrics.observe("wagtail_worker_seconds", "profile=\"" + call.request.profile->name + "\"", seconds);
        return;
    }
    if (++health.failures < FailuresToAvoid) {
        return;
    }
    health.avoidance = std::min(LongestAvoidance, std::max(FirstAvoidance, health.avoidance * 2));
    health.avoidUntil = now + health.avoidance;
    // One failure after the pause is enough to avoid it again.
    health.failures = FailuresToAvoid - 1;
    m_context.timeline.record({.kind = "worker.avoided",
        .worker = call.worker,
        .detail = std::to_string(health.avoidance.count()) + " ms after repeated failures"});
}

void RequestDispatcher::enqueue(const std::shared_ptr<Call> &call)
{
    ProfileState &state = m_profiles[call->request.profile->name];
    if (state.queue.size() >= static_cast<std::size_t>(call->request.profile->queueLimit)) {
        finish(*call,
            notRun(ErrorKind::Overloaded, "the queue of profile " + call->request.profile->name + " is full",
                "send the request again after the time in Retry-After"));
        return;
    }
    state.queue.emplace(call->request.deadline, call);
    ++m_queued;
    m_context.timeline.record({.kind = "request.queued", .request = call->request.identity});
}

void RequestDispatcher::drain()
{
    if (m_queued == 0) {
        return;
    }
    for (auto &[name, state] : m_profiles) {
        while (!state.queue.empty()) {
            const std::shared_ptr<Call> call = state.queue.begin()->second;
            const bool hopeless = isHopeless(*call);
            if (!hopeless && !trySend(call)) {
                break;
            }
            state.queue.erase(state.queue.begin());
            --m_queued;
            if (hopeless) {
                finish(*call, deadlinePassed());
            }
        }
    }
}

void RequestDispatcher::endWaits()
{
    const Instant now = m_context.clock.now();
    std::vector<std::shared_ptr<Call>> over;
    for (auto &[name, state] : m_profiles) {
        std::erase_if(state.queue, [&over, now](const auto &item) {
            const bool ends = item.second->request.queueUntil <= now;
            if (ends) {
                over.push_back(item.second);
            }
            return ends;
        });
    }
    m_queued -= over.size();
    for (const std::shared_ptr<Call> &call : over) {
        finish(*call, isHopeless(*call) ? deadlinePassed() : noRoom());
    }
}

void RequestDispatcher::tick()
{
    drain();
    if (m_queued > 0) {
        endWaits();
    }
}

void RequestDispatcher::finish(const Call &call, RequestResult result)
{
    if (result.outcome == Outcome::NotRun && call.mayHaveRun) {
        result.outcome = Outcome::Unknown;
    }
    const std::string outcome(nameOf(result.outcome));
    const std::string &profile = call.request.profile->name;
    const double seconds = std::chrono::duration<double>(m_context.clock.now() - call.since).count();
    m_context.metrics.observe(
        "wagtail_request_seconds", "profile=\"" + profile + "\",outcome=\"" + outcome + "\"", seconds);
    m_context.timeline.record({.kind = "request." + outcome, .request = call.request.identity, .worker = call.worker});
    call.handler(std::move(result));
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
