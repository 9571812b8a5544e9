#include "routing/RequestRouter.h"

#include "base/Identifier.h"
#include "routing/ForwardingTime.h"

#include <charconv>

namespace Wagtail
{

namespace
{

constexpr int MaximumHops = 2;
constexpr Milliseconds RedispatchDelay {20};
constexpr Milliseconds MaximumLocalWait {250};
constexpr Milliseconds KeyOwnerRetryDelay {150};
constexpr Milliseconds OutcomeWriteTimeout {300};
constexpr std::int64_t SameRegionMinimumMilliseconds = 10;
constexpr std::int64_t OtherRegionMinimumMilliseconds = 130;
constexpr std::size_t MaximumRecordedBodyBytes = 65'536;
constexpr std::int64_t MaximumClockSkewMilliseconds = 60'000;

RequestResult notRun(Error error)
{
    return {Outcome::NotRun, 0, {}, {}, std::move(error)};
}

RequestResult unknown(std::string detail)
{
    return {Outcome::Unknown, 0, {}, {},
        {ErrorKind::Unavailable, std::move(detail),
            "ask for the outcome with the same idempotency key before sending a new request"}};
}

// Returns the wall time in milliseconds that a UUID of version 7 contains, or nothing when the key is no such UUID.
std::optional<std::int64_t> timeOfKey(const std::string &key)
{
    constexpr std::size_t KeyLength = 36;
    constexpr std::size_t VersionPosition = 14;
    const bool wellFormed = key.size() == KeyLength && key[8] == '-' && key[13] == '-' && key[VersionPosition] == '7'
        && key.find_first_not_of("0123456789abcdefABCDEF-") == std::string::npos;
    if (!wellFormed) {
        return std::nullopt;
    }
    constexpr int HexadecimalBase = 16;
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    const char *last = digits.data() + digits.size();
    std::uint64_t time = 0;
    const auto [end, error] = std::from_chars(digits.data(), last, time, HexadecimalBase);
    return error == std::errc() && end == last ? std::optional(static_cast<std::int64_t>(time)) : std::nullopt;
}

bool isNoRoom(const RequestResult &result)
{
    return result.outcome == Outcome::NotRun && result.error.kind == ErrorKind::NoRoom;
}

// Reports a request as unknown instead of not run when an earlier attempt may have run.
RequestResult withEarlierAttempts(const RoutedRequest &request, RequestResult result)
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
            "create it with wagtailctl profile apply, or use another profile"}));
        return;
    }
    if (profile->profileClass != ProfileClass::Urgent) {
        handler(notRun({ErrorKind::InvalidInput, "profile " + request.profile + " is not of class urgent",
            "submit work of this profile as a task"}));
        return;
    }
    ++m_open;
    const Handler countingHandler = [this, handler = std::move(handler)](RequestResult result) {
        --m_open;
        handler(std::move(result));
    };
    if (profile->repeatability == Repeatability::Idempotent || request.hops > 0) {
        dispatch(std::move(request), std::move(profile), countingHandler);
        return;
    }
    const Status key = checkKey(request.key);
    if (const Error *error = errorOf(key)) {
        const bool expired = error->kind == ErrorKind::DeadlineExceeded;
        countingHandler(expired ? RequestResult {Outcome::Unknown, 0, {}, {}, *error} : notRun(*error));
        return;
    }
    sendToKeyOwner(std::move(request), false, countingHandler);
}

// Runs the request on a worker of this instance if one has free capacity, otherwise forwards or queues it.
void RequestRouter::dispatch(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    const bool queuesHere
        = request.hops >= MaximumHops || m_context.partitions.ownershipState() == OwnershipState::CutOff;
    const Instant now = m_context.clock.now();
    const Instant queueUntil = queuesHere ? queueDeadline(request.hops, now, request.deadline) : now;
    UrgentRequest urgent {request.identity, profile, request.deadline, queueUntil, request.body};
    m_context.dispatcher.submit(std::move(urgent),
        [this, request = std::move(request), profile, handler = std::move(handler)](RequestResult result) mutable {
            const bool hopLimitReached = request.hops >= MaximumHops;
            if (isNoRoom(result) && !hopLimitReached) {
                forwardOrQueue(std::move(request), std::move(profile), std::move(handler));
                return;
            }
            handler(withEarlierAttempts(request, std::move(result)));
        });
}

// Returns the partition and peer address of the nearest offer, and of equally near ones the offer with the most free
// slots. Leaves out instances that are too far away for the remaining time.
std::optional<std::pair<std::string, std::string>> RequestRouter::chooseOffer(
    const RoutedRequest &request, const Profile &profile) const
{
    const std::int64_t remainingTime = remaining(request);
    std::optional<std::pair<std::string, std::string>> best;
    int bestDistance = 3;
    std::int64_t bestSlots = 0;
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        const bool sameRegion = gossip->region == m_context.settings.region;
        const int distance = gossip->dataCentre == m_context.settings.dataCentre ? 0 : sameRegion ? 1 : 2;
        const bool allowed
            = profile.regions.empty() || std::ranges::find(profile.regions, gossip->region) != profile.regions.end();
        const bool inTime
            = remainingTime > (distance == 2 ? OtherRegionMinimumMilliseconds : SameRegionMinimumMilliseconds);
        if (gossip->leaving || !allowed || !inTime || distance > bestDistance) {
            continue;
        }
        for (const PartitionOffer &offer : gossip->offers) {
            const Resources freeResources {offer.freeMilliCores, offer.freeMemoryMegabytes, offer.freeAccelerators};
            const bool better = distance < bestDistance || offer.freeSlots > bestSlots;
            if (offer.ready && offer.freeSlots > 0 && profile.resources.fitsInto(freeResources) && better) {
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
        queueLocally(std::move(request), std::move(profile), std::move(handler));
        return;
    }
    m_context.peers.deductSlots(offer->first, 1);
    const RoutedRequest copy = request;
    forward(copy, offer->second, "request",
        [this, partition = offer->first, request = std::move(request), profile, handler = std::move(handler)](
            RequestResult result) mutable {
            m_context.peers.deductSlots(partition, -1);
            const bool idempotent = profile->repeatability == Repeatability::Idempotent;
            const bool mayRepeat
                = result.outcome == Outcome::NotRun || (result.outcome == Outcome::Unknown && idempotent);
            request.mayHaveRun = request.mayHaveRun || result.outcome != Outcome::NotRun;
            if (!mayRepeat || remaining(request) <= RedispatchDelay.count()) {
                handler(withEarlierAttempts(request, std::move(result)));
                return;
            }
            // The other instance did not run the request, or it may run again, and there is time to try elsewhere.
            redispatch(std::move(request), std::move(profile), std::move(handler));
        });
}

// Queues the request here for a limited time, then dispatches it again.
void RequestRouter::queueLocally(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    const Instant queueUntil = std::min(request.deadline, m_context.clock.now() + MaximumLocalWait);
    UrgentRequest urgent {request.identity, profile, request.deadline, queueUntil, request.body};
    m_context.dispatcher.submit(std::move(urgent),
        [this, request = std::move(request), profile, handler = std::move(handler)](RequestResult result) mutable {
            if (isNoRoom(result) && remaining(request) > RedispatchDelay.count()) {
                redispatch(std::move(request), std::move(profile), std::move(handler));
                return;
            }
            handler(withEarlierAttempts(request, std::move(result)));
        });
}

void RequestRouter::redispatch(RoutedRequest request, std::shared_ptr<const Profile> profile, Handler handler)
{
    request.identity += "+";
    m_context.scheduler.after(
        RedispatchDelay, [this, request = std::move(request), profile, handler = std::move(handler)]() mutable {
            dispatch(std::move(request), std::move(profile), std::move(handler));
        });
}

void RequestRouter::forward(RoutedRequest request, const std::string &address, const std::string &kind, Handler handler)
{
    const std::int64_t remainingTime = remaining(request);
    if (remainingTime <= 0) {
        handler(notRun({ErrorKind::DeadlineExceeded, "the deadline passed before the request could be forwarded",
            "set a later deadline"}));
        return;
    }
    m_context.metrics.count("wagtail_forwarded_requests_total", "kind=\"" + kind + "\"");
    m_context.timeline.record(
        {.kind = "request.forwarded", .request = request.identity, .detail = kind + " " + address});
    // Traffic between the regions is billed by the byte, so its volume is counted.
    const bool crosses = m_context.peers.regionOf(address) != m_context.settings.region;
    const Distance distance = crosses ? Distance::OtherRegion : Distance::SameRegion;
    const Milliseconds granted = peerTimeBudget(Milliseconds(remainingTime), distance);
    const ForwardedRequest message = toMessage(request, granted.count(), m_context.timeline.logicalTime());
    std::string body = encodeMessage(message);
    if (crosses) {
        m_context.metrics.count("wagtail_cross_region_bytes_total", "direction=\"sent\"", body.size());
    }
    m_context.caller.call(address, {kind, std::move(body)}, Milliseconds(remainingTime),
        [this, crosses, handler = std::move(handler)](Result<std::string> answer) {
            if (const auto *bytes = std::get_if<std::string>(&answer); crosses && bytes != nullptr) {
                m_context.metrics.count("wagtail_cross_region_bytes_total", "direction=\"received\"", bytes->size());
            }
            m_context.scheduler.post([this, handler, answer = std::move(answer)] {
                if (const Error *error = errorOf(answer)) {
                    // Only an error from before the message was sent proves that the request did not run.
                    const bool notSent = error->kind == ErrorKind::Unavailable || error->kind == ErrorKind::Overloaded
                        || error->kind == ErrorKind::UnsupportedProtocol || error->kind == ErrorKind::NotFound;
                    handler({notSent ? Outcome::NotRun : Outcome::Unknown, 0, {}, {}, *error});
                    return;
                }
                auto result = decodeMessage<ForwardedResult>(std::get<std::string>(answer));
                if (!result) {
                    handler(unknown("the answer of the other instance can't be parsed"));
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
            "a request that may run at most once needs an Idempotency-Key that is a UUID of version 7",
            "create one key for each new request, and send the same key again with each retry"};
    }
    const std::int64_t age = m_context.clock.wallMilliseconds() - *time;
    if (age > m_context.settings.claimWindow) {
        return Error {ErrorKind::DeadlineExceeded,
            "the idempotency key is older than the period for which outcomes are kept",
            "check at the upstream whether the request ran; create a new key for a new request"};
    }
    if (age < -MaximumClockSkewMilliseconds) {
        return Error {ErrorKind::InvalidInput, "the time in the idempotency key lies in the future",
            "correct the clock of the caller"};
    }
    return std::monostate();
}

std::string RequestRouter::partitionOfKey(const std::string &key) const
{
    const std::vector<PartitionIdentity> partitions = m_context.partitions.allPartitions();
    return partitions[stableHash(key) % partitions.size()].text();
}

// Sends the request to the owner of its key's partition. A call whose answer is lost is repeated, which is safe because
// the key can be claimed only once.
void RequestRouter::sendToKeyOwner(RoutedRequest request, bool earlierAttemptLost, Handler handler)
{
    const std::string keyPartition = partitionOfKey(request.key);
    if (PartitionController *controller = m_context.partitions.readyController(keyPartition)) {
        claimAndRun(*controller, keyPartition, std::move(request), std::move(handler));
        return;
    }
    const std::optional<PartitionOwner> owner = m_context.partitions.ownerOf(keyPartition);
    if (!owner || owner->peerAddress.empty()) {
        retryAtKeyOwner(std::move(request), earlierAttemptLost,
            notRun({ErrorKind::Unavailable, "the owner of the key's partition can't be reached",
                "send the request again"}),
            std::move(handler));
        return;
    }
    const RoutedRequest copy = request;
    forward(copy, owner->peerAddress, "request-home",
        [this, request = std::move(request), earlierAttemptLost, handler = std::move(handler)](
            RequestResult result) mutable {
            const ErrorKind kind = result.error.kind;
            const bool answerLost = result.outcome == Outcome::Unknown && kind == ErrorKind::Internal;
            const bool misdirected
                = result.outcome == Outcome::NotRun && (kind == ErrorKind::NotOwner || kind == ErrorKind::Unavailable);
            if (answerLost || misdirected) {
                retryAtKeyOwner(
                    std::move(request), earlierAttemptLost || answerLost, std::move(result), std::move(handler));
                return;
            }
            if (earlierAttemptLost && result.outcome == Outcome::NotRun && kind != ErrorKind::Conflict) {
                // This attempt did not run, but an earlier one, whose answer was lost, may have.
                handler(unknown("the answer to an earlier attempt was lost"));
                return;
            }
            handler(std::move(result));
        });
}

void RequestRouter::retryAtKeyOwner(
    RoutedRequest request, bool earlierAttemptLost, RequestResult failure, Handler handler)
{
    if (remaining(request) <= 2 * KeyOwnerRetryDelay.count()) {
        handler(earlierAttemptLost ? unknown("the owner of the key's partition could not be reached again")
                                   : std::move(failure));
        return;
    }
    m_context.scheduler.after(KeyOwnerRetryDelay,
        [this, request = std::move(request), earlierAttemptLost, handler = std::move(handler)]() mutable {
            sendToKeyOwner(std::move(request), earlierAttemptLost, std::move(handler));
        });
}

void RequestRouter::routeAsKeyOwner(RoutedRequest request, Handler handler)
{
    const std::string keyPartition = partitionOfKey(request.key);
    PartitionController *controller = m_context.partitions.readyController(keyPartition);
    if (controller == nullptr || m_closed) {
        handler(notRun({ErrorKind::NotOwner, "this instance does not own the key's partition",
            "send the request to the current owner"}));
        return;
    }
    claimAndRun(*controller, keyPartition, std::move(request), std::move(handler));
}

void RequestRouter::claimAndRun(
    PartitionController &controller, const std::string &partition, RoutedRequest request, Handler handler)
{
    const std::uint64_t digest = stableHash(request.profile + "\n" + request.body);
    const std::string key = request.key;
    const auto running = m_running.find(key);
    if (running != m_running.end()) {
        if (running->second.digest != digest) {
            handler(notRun({ErrorKind::Conflict, "the idempotency key was used for another request", "use a new key"}));
            return;
        }
        running->second.waiters.push_back(std::move(handler));
        return;
    }
    m_running[key] = {digest, {std::move(handler)}, false};
    const auto remainingTime = Milliseconds(std::max<std::int64_t>(1, remaining(request)));
    m_context.scheduler.after(remainingTime, [this, key] {
        const auto waiting = m_running.find(key);
        if (waiting != m_running.end() && !waiting->second.claimed) {
            // The claim is not durable yet. The request was not dispatched and will not be after this.
            answerWaiters(key,
                notRun({ErrorKind::StoreUnavailable, "the idempotency key could not be written to the store in time",
                    "send the request again with the same key"}));
        }
    });
    controller.claim({key, digest, m_context.clock.wallMilliseconds()},
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
            answer = unknown("the outcome of the request is not known");
        }
        answerWaiters(key, answer);
        return;
    }
    if (decision.kind == ClaimDecision::Kind::Unknown) {
        answerWaiters(key, unknown("the request was dispatched before and its outcome is not recorded"));
        return;
    }
    const auto running = m_running.find(key);
    const std::shared_ptr<const Profile> profile = m_context.profiles.find(request.profile);
    if (running == m_running.end() || !profile || remaining(request) <= 0) {
        finishClaim(partition, key,
            notRun({ErrorKind::DeadlineExceeded, "the deadline passed before the request was dispatched",
                "send the request again"}));
        return;
    }
    running->second.claimed = true;
    dispatch(std::move(request), profile,
        [this, partition, key](RequestResult answer) { finishClaim(partition, key, std::move(answer)); });
}

void RequestRouter::finishClaim(const std::string &partition, const std::string &key, RequestResult result)
{
    PartitionController *controller = m_context.partitions.readyController(partition);
    if (controller == nullptr) {
        // The partition has a new owner, which reports the outcome of this key as unknown whatever happened here. A
        // caller that is told that the request was not run can't repeat it with the same key, only with a new one.
        answerWaiters(key, result);
        return;
    }
    const bool keepBody = result.body.size() <= MaximumRecordedBodyBytes;
    KeyOutcomeRecorded record {
        key, result.outcome, result.status, result.contentType, keepBody ? result.body : std::string()};
    if (!keepBody) {
        record.outcome = Outcome::Unknown;
    }
    controller->recordOutcome(std::move(record), [this, key, result](const Status &) { answerWaiters(key, result); });
    m_context.scheduler.after(
        OutcomeWriteTimeout, [this, key, result = std::move(result)] { answerWaiters(key, result); });
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
