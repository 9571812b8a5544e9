#include "routing/RequestRouter.h"

#include "base/Identifier.h"
#include "routing/ForwardingTime.h"

namespace Wagtail
{

namespace
{

constexpr int MaximumHops = 2;
constexpr Milliseconds AgainDelay {20};
constexpr Milliseconds QueueSlice {250};
constexpr Milliseconds HomeRetryDelay {150};
constexpr Milliseconds SettleWait {300};
constexpr std::int64_t NearMilliseconds = 10;
constexpr std::int64_t FarMilliseconds = 130;
constexpr std::size_t LargestRecordedBody = 65'536;
constexpr std::int64_t LargestClockSkew = 60'000;

RequestResult notRun(Error error)
{
    return {Outcome::NotRun, 0, {}, {}, std::move(error)};
}

RequestResult unknown(std::string detail)
{
    return {Outcome::Unknown, 0, {}, {},
        {ErrorKind::Unavailable, std::move(detail),
            "ask for the outcome with the same key before sending anything new"}};
}

// Returns the wall time inside a UUID version 7, or nothing when the text is no such identifier.
std::optional<std::int64_t> timeOfKey(const std::string &key)
{
    constexpr std::size_t KeyLength = 36;
    constexpr std::size_t VersionPosition = 14;
    const bool shaped = key.size() == KeyLength && key[8] == '-' && key[13] == '-' && key[VersionPosition] == '7'
        && key.find_first_not_of("0123456789abcdefABCDEF-") == std::string::npos;
    if (!shaped) {
        return std::nullopt;
    }
    return std::stoll(key.substr(0, 8) + key.substr(9, 4), nullptr, 16);
}

bool isNoRoom(const RequestResult &result)
{
    return result.outcome == Outcome::NotRun && result.error.kind == ErrorKind::NoRoom;
}

// A request of which an earlier attempt may have run is not called not run, whatever became of the last attempt.
RequestResult withHistory(const RoutedRequest &request, RequestResult result)
{
    if (result.outcome == Outcome::NotRun && request.mayHaveRun) {
        result.outcome = Outcome::Unknown;
    }
    return result;
}

ForwardedRequest toMessage(const RoutedRequest &request, std::int64_t remaining, std::uint64_t logicalTime)
{
    return {request.identity, request.profile, request.key, remaining, request.hops + 1, logicalTime, request.body};
}

RequestResult fromMessage(ForwardedResult message)
{
    RequestResult result;
    result.outcome = outcomeFromName(message.outcome).value_or(Outcome::Unknown);
    result.status = message.status;
    result.contentType = std::move(message.contentType);
    result.body = std::move(message.body);
    result.error = {errorKindFromName(message.errorKind), std::move(message.detail), std::move(message.remedy)};
    return result;
}

}

RequestRouter::RequestRouter(Context context) : m_context(context)
{
}

std::int64_t RequestRouter::remaining(const RoutedRequest &request) const
{
    return std::chrono::duration_cast<Milliseconds>(request.deadline - m_context.clock.now()).count();
}

void RequestRouter::close()
{
    m_closed = true;
}

std::size_t RequestRouter::openCount() const
{
    return m_open;
}

void RequestRouter::route(RoutedRequest request, Handler handler)
{
    if (m_closed) {
        handler(notRun({ErrorKind::Unavailable, "this instance is stopping", "send the request again"}));
        return;
    }
    std::shared_ptr<const Profile> profile = m_context.profiles.find(request.profile);
    if (!profile) {
        handler(notRun({ErrorKind::NotFound, "no profile is named '" + request.profile + "'",
            "create it with wagtailctl profile apply, or name another"}));
        return;
    }
    if (profile->profileClass != ProfileClass::Urgent) {
        handler(notRun({ErrorKind::InvalidInput, "profile " + request.profile + " is not of class urgent",
            "submit its work as a task"}));
        return;
    }
    ++m_open;
    const Handler counted = [this, handler = std::move(handler)](RequestResult result) {
        --m_open;
        handler(std::move(result));
    };
    if (profile->repeatability == Repeatability::Idempotent || request.hops > 0) {
        dispatch(std::move(request), std::move(profile), counted);
        return;
    }
    const Status key = checkKey(request.key);
    if (const Error *error = errorOf(key)) {
        const bool expired = error->kind == ErrorKind::DeadlineExceeded;
        counted(expired ? RequestResult {Outcome::Unknown, 0, {}, {}, *error} : notRun(*error));
        return;
    }
    sendHome(std::move(request), false, counted);
}

// Runs the request on an owned worker if one has room, otherwise passes it on or lets it wait.
void RequestRouter::dispatch(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    const bool stays = request.hops >= MaximumHops || m_context.partitions.ownershipState() == OwnershipState::CutOff;
    const Instant now = m_context.clock.now();
    const Instant queueUntil = stays ? waitLimit(request.hops, now, request.deadline) : now;
    UrgentRequest urgent {request.identity, profile, request.deadline, queueUntil, request.body};
    m_context.dispatcher.submit(std::move(urgent),
        [this, request = std::move(request), profile, handler = std::move(handler)](RequestResult result) mutable {
            const bool goesBack = request.hops >= MaximumHops;
            if (isNoRoom(result) && !goesBack) {
                forwardOrQueue(std::move(request), std::move(profile), std::move(handler));
                return;
            }
            handler(withHistory(request, std::move(result)));
        });
}

// Returns partition and address of the best offer: near ones first, and far ones only when the deadline allows.
std::optional<std::pair<std::string, std::string>> RequestRouter::chooseOffer(
    const RoutedRequest &request, const Profile &profile) const
{
    const std::int64_t left = remaining(request);
    std::optional<std::pair<std::string, std::string>> best;
    int bestDistance = 3;
    std::int64_t bestSlots = 0;
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        const bool sameRegion = gossip->region == m_context.settings.region;
        const int distance = gossip->dataCentre == m_context.settings.dataCentre ? 0 : sameRegion ? 1 : 2;
        const bool allowed
            = profile.regions.empty() || std::ranges::find(profile.regions, gossip->region) != profile.regions.end();
        const bool inTime = left > (distance == 2 ? FarMilliseconds : NearMilliseconds);
        if (gossip->leaving || !allowed || !inTime || distance > bestDistance) {
            continue;
        }
        for (const PartitionOffer &offer : gossip->offers) {
            const Resources room {offer.freeMilliCores, offer.freeMemoryMegabytes, offer.freeAccelerators};
            const bool better = distance < bestDistance || offer.freeSlots > bestSlots;
            if (offer.ready && offer.freeSlots > 0 && profile.resources.fitsInto(room) && better) {
                best = std::pair(offer.partition, gossip->peerAddress);
                bestDistance = distance;
                bestSlots = offer.freeSlots;
            }
        }
    }
    return best;
}

void RequestRouter::forwardOrQueue(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    const auto offer = chooseOffer(request, *profile);
    if (!offer) {
        queue(std::move(request), std::move(profile), std::move(handler));
        return;
    }
    m_context.peers.deductSlots(offer->first, 1);
    const RoutedRequest copy = request;
    forward(copy, offer->second, "request",
        [this, partition = offer->first, request = std::move(request), profile, handler = std::move(handler)](
            RequestResult result) mutable {
            m_context.peers.deductSlots(partition, -1);
            const bool idempotent = profile->repeatability == Repeatability::Idempotent;
            const bool repeat = result.outcome == Outcome::NotRun || (result.outcome == Outcome::Unknown && idempotent);
            request.mayHaveRun = request.mayHaveRun || result.outcome != Outcome::NotRun;
            if (!repeat || remaining(request) <= AgainDelay.count()) {
                handler(withHistory(request, std::move(result)));
                return;
            }
            // The other daemon did not run it, or it may run again: there is still time to look elsewhere.
            dispatchAgain(std::move(request), std::move(profile), std::move(handler));
        });
}

// Lets the request wait for a while where it is, then looks elsewhere again.
void RequestRouter::queue(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    const Instant queueUntil = std::min(request.deadline, m_context.clock.now() + QueueSlice);
    UrgentRequest urgent {request.identity, profile, request.deadline, queueUntil, request.body};
    m_context.dispatcher.submit(std::move(urgent),
        [this, request = std::move(request), profile, handler = std::move(handler)](RequestResult result) mutable {
            if (isNoRoom(result) && remaining(request) > AgainDelay.count()) {
                dispatchAgain(std::move(request), std::move(profile), std::move(handler));
                return;
            }
            handler(withHistory(request, std::move(result)));
        });
}

void RequestRouter::dispatchAgain(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    request.identity += "+";
    m_context.scheduler.after(
        AgainDelay, [this, request = std::move(request), profile, handler = std::move(handler)]() mutable {
            dispatch(std::move(request), std::move(profile), std::move(handler));
        });
}

void RequestRouter::forward(RoutedRequest request, const std::string &address, const std::string &kind, Handler handler)
{
    const std::int64_t left = remaining(request);
    if (left <= 0) {
        handler(notRun({ErrorKind::DeadlineExceeded, "the deadline passed", "give a later deadline"}));
        return;
    }
    m_context.metrics.count("wagtail_forwarded_requests_total", "kind=\"" + kind + "\"");
    m_context.timeline.record(
        {.kind = "request.forwarded", .request = request.identity, .detail = kind + " " + address});
    // The link between the regions is paid for by the byte.
    const bool crosses = m_context.peers.regionOf(address) != m_context.settings.region;
    const Distance distance = crosses ? Distance::OtherRegion : Distance::SameRegion;
    const Milliseconds granted = timeForPeer(Milliseconds(left), distance);
    const ForwardedRequest message = toMessage(request, granted.count(), m_context.timeline.logicalTime());
    std::string body = encodeMessage(message);
    if (crosses) {
        m_context.metrics.count("wagtail_cross_region_bytes_total", "direction=\"sent\"", body.size());
    }
    m_context.caller.call(address, {kind, std::move(body)}, Milliseconds(left),
        [this, crosses, handler = std::move(handler)](Result<std::string> answer) {
            if (const auto *bytes = std::get_if<std::string>(&answer); crosses && bytes != nullptr) {
                m_context.metrics.count("wagtail_cross_region_bytes_total", "direction=\"received\"", bytes->size());
            }
            m_context.scheduler.post([this, handler, answer = std::move(answer)] {
                if (const Error *error = errorOf(answer)) {
                    // Only an error from before the call left proves that nothing ran.
                    const bool surelyNot = error->kind == ErrorKind::Unavailable || error->kind == ErrorKind::Overloaded
                        || error->kind == ErrorKind::UnsupportedProtocol || error->kind == ErrorKind::NotFound;
                    handler({surelyNot ? Outcome::NotRun : Outcome::Unknown, 0, {}, {}, *error});
                    return;
                }
                auto result = decodeMessage<ForwardedResult>(std::get<std::string>(answer));
                if (!result) {
                    handler(unknown("the other daemon's answer can't be read"));
                    return;
                }
                m_context.timeline.observe(result->logicalTime);
                handler(fromMessage(std::move(*result)));
            });
        });
}

Status RequestRouter::checkKey(const std::string &key) const
{
    const std::optional<std::int64_t> time = timeOfKey(key);
    if (!time) {
        return Error {ErrorKind::InvalidInput,
            "work that may run at most once needs an Idempotency-Key that is a UUID of version 7",
            "create one key for each new request, and send the same key again with each retry"};
    }
    const std::int64_t age = m_context.clock.wallMilliseconds() - *time;
    if (age > m_context.settings.claimWindow) {
        return Error {ErrorKind::DeadlineExceeded, "the key is older than the time for which outcomes are kept",
            "check at the upstream whether the request ran; use a new key for a new request"};
    }
    if (age < -LargestClockSkew) {
        return Error {ErrorKind::InvalidInput, "the key lies in the future", "set the clock of the caller"};
    }
    return std::monostate();
}

std::string RequestRouter::homeOf(const std::string &key) const
{
    const std::vector<PartitionIdentity> partitions = m_context.partitions.allPartitions();
    return partitions[stableHash(key) % partitions.size()].text();
}

// Takes the request to the keeper of its key. A call that got lost may be repeated, since the key is claimed once.
void RequestRouter::sendHome(RoutedRequest request, bool uncertain, Handler handler)
{
    const std::string home = homeOf(request.key);
    if (PartitionController *keeper = m_context.partitions.readyController(home)) {
        claimAndRun(*keeper, home, std::move(request), std::move(handler));
        return;
    }
    const std::optional<PartitionOwner> owner = m_context.partitions.ownerOf(home);
    if (!owner || owner->peerAddress.empty()) {
        retryHome(std::move(request), uncertain,
            notRun({ErrorKind::Unavailable, "the keeper of the key can't be reached", "send the request again"}),
            std::move(handler));
        return;
    }
    const RoutedRequest copy = request;
    forward(copy, owner->peerAddress, "request-home",
        [this, request = std::move(request), uncertain, handler = std::move(handler)](RequestResult result) mutable {
            const ErrorKind kind = result.error.kind;
            const bool lost = result.outcome == Outcome::Unknown && kind == ErrorKind::Internal;
            const bool misdirected
                = result.outcome == Outcome::NotRun && (kind == ErrorKind::NotOwner || kind == ErrorKind::Unavailable);
            if (lost || misdirected) {
                retryHome(std::move(request), uncertain || lost, std::move(result), std::move(handler));
                return;
            }
            if (uncertain && result.outcome == Outcome::NotRun && kind != ErrorKind::Conflict) {
                // This attempt ran nothing, but an earlier one may have.
                handler(unknown("an earlier attempt got lost"));
                return;
            }
            handler(std::move(result));
        });
}

void RequestRouter::retryHome(RoutedRequest request, bool uncertain, RequestResult failure, Handler handler)
{
    if (remaining(request) <= 2 * HomeRetryDelay.count()) {
        handler(uncertain ? unknown("the keeper of the key could not be asked again") : std::move(failure));
        return;
    }
    m_context.scheduler.after(
        HomeRetryDelay, [this, request = std::move(request), uncertain, handler = std::move(handler)]() mutable {
            sendHome(std::move(request), uncertain, std::move(handler));
        });
}

void RequestRouter::routeHome(RoutedRequest request, Handler handler)
{
    const std::string home = homeOf(request.key);
    PartitionController *keeper = m_context.partitions.readyController(home);
    if (keeper == nullptr || m_closed) {
        handler(notRun({ErrorKind::NotOwner, "this instance does not keep the key", "ask its present keeper"}));
        return;
    }
    claimAndRun(*keeper, home, std::move(request), std::move(handler));
}

void RequestRouter::claimAndRun(
    PartitionController &keeper, const std::string &partition, RoutedRequest request, Handler handler)
{
    const std::uint64_t digest = stableHash(request.profile + "\n" + request.body);
    const std::string key = request.key;
    const auto running = m_running.find(key);
    if (running != m_running.end()) {
        if (running->second.digest != digest) {
            handler(notRun({ErrorKind::Conflict, "the key was used for another request", "use a new key"}));
            return;
        }
        running->second.waiters.push_back(std::move(handler));
        return;
    }
    m_running[key] = {digest, {std::move(handler)}, false};
    const auto left = Milliseconds(std::max<std::int64_t>(1, remaining(request)));
    m_context.scheduler.after(left, [this, key] {
        const auto waiting = m_running.find(key);
        if (waiting != m_running.end() && !waiting->second.claimed) {
            // The claim is not durable yet; nothing was handed over, and now nothing will be.
            answerWaiters(key,
                notRun({ErrorKind::StoreUnavailable, "the key could not be made durable in time",
                    "send the request again with the same key"}));
        }
    });
    keeper.claim({key, digest, m_context.clock.wallMilliseconds()},
        [this, partition, request = std::move(request)](
            const Result<ClaimDecision> &result) mutable { onClaimed(partition, std::move(request), result); });
}

void RequestRouter::onClaimed(const std::string &partition, RoutedRequest request, const Result<ClaimDecision> &result)
{
    const std::string key = request.key;
    if (const Error *error = errorOf(result)) {
        answerWaiters(key, notRun(*error));
        return;
    }
    const auto &decision = std::get<ClaimDecision>(result);
    if (decision.kind == ClaimDecision::Kind::Recorded) {
        const KeyOutcomeRecorded &recorded = decision.recorded;
        RequestResult answer {recorded.outcome, recorded.status, recorded.contentType, recorded.body, {}};
        if (recorded.outcome == Outcome::Unknown) {
            answer = unknown("the outcome of the request was lost");
        }
        answerWaiters(key, answer);
        return;
    }
    if (decision.kind == ClaimDecision::Kind::Unknown) {
        answerWaiters(key, unknown("the request was handed over before and its outcome is not recorded"));
        return;
    }
    const auto running = m_running.find(key);
    const std::shared_ptr<const Profile> profile = m_context.profiles.find(request.profile);
    if (running == m_running.end() || !profile || remaining(request) <= 0) {
        finishClaim(partition, key,
            notRun({ErrorKind::DeadlineExceeded, "the deadline passed before the hand-over", "send it again"}));
        return;
    }
    running->second.claimed = true;
    dispatch(std::move(request), profile,
        [this, partition, key](RequestResult answer) { finishClaim(partition, key, std::move(answer)); });
}

void RequestRouter::finishClaim(const std::string &partition, const std::string &key, RequestResult result)
{
    PartitionController *keeper = m_context.partitions.readyController(partition);
    if (keeper == nullptr) {
        // Another tenure answers for the key now, and it says unknown whatever happened here. A caller who hears that
        // the request was not run could not send it again with the same key, but with a new one.
        answerWaiters(key, result);
        return;
    }
    const bool keepBody = result.body.size() <= LargestRecordedBody;
    KeyOutcomeRecorded record {
        key, result.outcome, result.status, result.contentType, keepBody ? result.body : std::string()};
    if (!keepBody) {
        record.outcome = Outcome::Unknown;
    }
    keeper->recordOutcome(std::move(record), [this, key, result](const Status &) { answerWaiters(key, result); });
    m_context.scheduler.after(SettleWait, [this, key, result = std::move(result)] { answerWaiters(key, result); });
}

void RequestRouter::answerWaiters(const std::string &key, const RequestResult &result)
{
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        return;
    }
    const std::vector<Handler> waiters = std::move(running->second.waiters);
    m_running.erase(running);
    for (const Handler &waiter : waiters) {
        waiter(result);
    }
}

}
