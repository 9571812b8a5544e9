#include "configuration/PeerEntrySource.h"

#include "configuration/StoreListingCodec.h"
#include "http/HttpStatus.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A peer that gave no usable answer is left alone for this long.
constexpr Milliseconds AvoidanceTime {5'000};
// By when a listing has to begin, how long it may pause, and how long it may take. A megabyte takes about a second on
// the slowest links of instances.
constexpr long ListTimeoutMilliseconds = 700;
constexpr LongAnswerLimits ListLimits {700, 10'000};
// Added to the time for which a peer may delay its answer.
constexpr long WatchMarginMilliseconds = 500;
// Peers whose copies the store has not confirmed are as far from the store as this instance, or about to receive a
// large change. Reading it as well would only delay them. After this time the reason must be another one.
constexpr Milliseconds LongestUnconfirmedTime {1'000};
// The store answers each watch within a second, also without a change.
constexpr Milliseconds LongestStoreSilence {2'000};

// Returns a handler of listings that passes them on as the events of a watch.
EntrySource::Handler<StoreListing> asEvents(EntrySource::Handler<StoreEvents> handler)
{
    return [handler = std::move(handler)](const Result<StoreListing> &result) {
        const auto *listing = std::get_if<StoreListing>(&result);
        if (listing == nullptr) {
            handler(std::get<Error>(result));
            return;
        }
        StoreEvents events {listing->revision, {}, true};
        for (const StoreEntry &entry : listing->entries) {
            events.events.push_back({entry, false});
        }
        handler(std::move(events));
    };
}

Error unconfirmedError()
{
    return {ErrorKind::Overloaded, "the store has not confirmed the copies of other instances lately",
        "ask them again after a pause"};
}

}

PeerEntrySource::PeerEntrySource(Environment environment, std::string path)
    : m_environment(std::move(environment)), m_path(std::move(path))
{
}

PeerEntrySource::~PeerEntrySource()
{
    *m_alive = false;
}

void PeerEntrySource::list(const std::string &prefix, Handler<StoreListing> handler)
{
    listFrom(usablePeers(), prefix, std::move(handler));
}

void PeerEntrySource::watch(
    const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
{
    watchFrom(usablePeers(), prefix, after, wait, std::move(handler));
}

bool PeerEntrySource::isCurrent() const
{
    return m_storeAnsweredAt && m_environment.clock.now() - *m_storeAnsweredAt <= LongestStoreSilence;
}

void PeerEntrySource::listFrom(Peers peers, const std::string &prefix, Handler<StoreListing> handler)
{
    if (peers.empty() && isAwaitingPeers()) {
        handler(unconfirmedError());
        return;
    }
    if (peers.empty()) {
        noteSource("store");
        m_environment.store.list(
            prefix, [this, alive = m_alive, handler = std::move(handler)](const Result<StoreListing> &result) {
                if (*alive) {
                    noteStoreAnswer(errorOf(result) == nullptr);
                    handler(result);
                }
            });
        return;
    }
    const std::string peer = peers.front();
    peers.erase(peers.begin());
    HttpCall call = callTo(peer, {}, ListTimeoutMilliseconds);
    call.longAnswer = ListLimits;
    m_environment.client.send(std::move(call),
        [this, alive = m_alive, peer, peers = std::move(peers), prefix, handler = std::move(handler)](
            const HttpAnswer &answer) {
            if (!*alive) {
                return;
            }
            const bool isAnswered = answer.delivery == Delivery::Answered && answer.status == HttpStatus::Ok;
            Result<StoreListing> listing = isAnswered ? parseStoreListing(answer.body) : Result<StoreListing>(Error());
            const bool isUsable = errorOf(listing) == nullptr;
            noteAnswer(peer, answer, isUsable);
            if (isUsable) {
                handler(std::move(listing));
            } else {
                listFrom(peers, prefix, handler);
            }
        });
}

void PeerEntrySource::watchFrom(
    Peers peers, const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
{
    if (peers.empty() && isAwaitingPeers()) {
        handler(unconfirmedError());
        return;
    }
    if (peers.empty()) {
        noteSource("store");
        m_environment.store.watch(prefix, after, wait,
            [this, alive = m_alive, handler = std::move(handler)](const Result<StoreEvents> &result) {
                if (*alive) {
                    const Error *error = errorOf(result);
                    noteStoreAnswer(error == nullptr || error->kind == ErrorKind::NotFound);
                    handler(result);
                }
            });
        return;
    }
    const std::string peer = peers.front();
    peers.erase(peers.begin());
    const std::string query = "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    m_environment.client.send(callTo(peer, query, static_cast<long>(wait.count()) + WatchMarginMilliseconds),
        [this, alive = m_alive, peer, peers = std::move(peers), prefix, after, wait, handler = std::move(handler)](
            const HttpAnswer &answer) {
            if (!*alive) {
                return;
            }
            const bool isAnswered = answer.delivery == Delivery::Answered;
            const bool hasChanged = isAnswered && answer.status == HttpStatus::Gone;
            const bool isUnchanged = isAnswered && answer.status == HttpStatus::Ok;
            noteAnswer(peer, answer, hasChanged || isUnchanged);
            if (hasChanged) {
                Peers remaining = peers;
                remaining.insert(remaining.begin(), peer);
                listFrom(std::move(remaining), prefix, asEvents(handler));
            } else if (isUnchanged) {
                handler(StoreEvents {after, {}, false});
            } else {
                watchFrom(peers, prefix, after, wait, handler);
            }
        });
}

bool PeerEntrySource::isAwaitingPeers() const
{
    return m_unconfirmedSince && m_environment.clock.now() - *m_unconfirmedSince < LongestUnconfirmedTime;
}

PeerEntrySource::Peers PeerEntrySource::usablePeers()
{
    const Instant now = m_environment.clock.now();
    std::erase_if(m_avoidedUntil, [now](const auto &entry) { return entry.second <= now; });
    Peers peers = m_environment.peers();
    if (peers.empty()) {
        m_unconfirmedSince.reset();
    }
    std::erase_if(peers, [this](const std::string &peer) { return m_avoidedUntil.contains(peer); });
    return peers;
}

HttpCall PeerEntrySource::callTo(const std::string &peer, const std::string &query, long timeoutMilliseconds) const
{
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + peer + m_path + query;
    call.timeoutMilliseconds = timeoutMilliseconds;
    return call;
}

void PeerEntrySource::noteAnswer(const std::string &peer, const HttpAnswer &answer, bool usable)
{
    if (usable) {
        m_unconfirmedSince.reset();
        noteSource(peer);
        return;
    }
    if (answer.delivery == Delivery::Answered && answer.status == HttpStatus::ServiceUnavailable) {
        m_unconfirmedSince = m_unconfirmedSince.value_or(m_environment.clock.now());
        return;
    }
    m_avoidedUntil[peer] = m_environment.clock.now() + AvoidanceTime;
    m_environment.log(
        "entry-source-avoided", peer, {{"path", m_path}, {"status", answer.status}, {"failure", answer.failure}});
}

void PeerEntrySource::noteSource(const std::string &source)
{
    if (source != m_source) {
        m_environment.log("entry-source-changed", source, {{"path", m_path}, {"previous", m_source}});
        m_source = source;
    }
}

void PeerEntrySource::noteStoreAnswer(bool answered)
{
    if (answered) {
        m_storeAnsweredAt = m_environment.clock.now();
    }
}

}
