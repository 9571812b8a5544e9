#include "tenure/StoreRelay.h"

#include "http/HttpStatus.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Wagtail
{

namespace
{

constexpr const char *RelayPath = "/v1/store-relay";
constexpr const char *HealthPath = "/v1/store-health";
constexpr const char *MethodHeader = "Wagtail-Method";
constexpr const char *UrlHeader = "Wagtail-Url";
constexpr const char *TimeoutHeader = "Wagtail-Timeout-Ms";
constexpr const char *StallHeader = "Wagtail-Stall-Ms";
constexpr const char *TotalHeader = "Wagtail-Total-Ms";
// A single failure may be a lost answer. Two in a row mean that the store is unreachable.
constexpr int FailuresBeforeRelay = 2;
// How often a direct read checks, while relaying, whether the store is reachable again.
constexpr Milliseconds DirectProbePeriod {700};
// The instance's lease is renewed more often than this, so a reachable store answers within this time.
constexpr Milliseconds MaxDirectAnswerAge {1'700};
constexpr Milliseconds OutageConfirmationAge {2'500};
constexpr Milliseconds PollPeriod {500};
constexpr long PeerMarginMilliseconds = 150;
constexpr long HealthTimeoutMilliseconds = 300;
constexpr long MaxRelayedTimeoutMilliseconds = 60'000;
// An instance passes on a relayed answer only as a whole, so the answer may begin this much later than a direct one.
constexpr long MaxRelayedTransferMilliseconds = 3'000;

long milliseconds(const HttpRequest &request, std::string_view header)
{
    return std::strtol(request.header(header).value_or("0").c_str(), nullptr, 10);
}

// Returns how long the call takes if its answer is read at once.
Milliseconds longestDuration(const HttpCall &call)
{
    return Milliseconds(call.longAnswer ? call.longAnswer->totalMilliseconds : call.timeoutMilliseconds);
}

bool reachedStore(const HttpAnswer &answer)
{
    return answer.delivery == Delivery::Answered && answer.status != HttpStatus::TooManyRequests
        && answer.status != HttpStatus::ServiceUnavailable;
}

}

StoreRelay::StoreRelay(Environment environment) : m_environment(std::move(environment))
{
}

StoreRelay::~StoreRelay()
{
    *m_alive = false;
}

void StoreRelay::send(HttpCall call, Handler handler)
{
    if (m_relaying) {
        sendThroughPeer(std::move(call), std::move(handler));
        return;
    }
    const bool hasPeers = !m_environment.peers().empty();
    if (hasPeers && m_consecutiveFailures > 0 && !call.mayBeSentAgain()) {
        // Otherwise the sender of a call that may not be sent again would wait for two timeouts before it is relayed.
        sendThroughPeer(call, [this, alive = m_alive, call, handler = std::move(handler)](HttpAnswer answer) mutable {
            if (!*alive) {
                return;
            }
            if (reachedStore(answer) || answer.delivery == Delivery::Lost) {
                handler(std::move(answer));
            } else {
                sendDirectly(std::move(call), std::move(handler));
            }
        });
        return;
    }
    sendDirectly(
        call, [this, alive = m_alive, call, hasPeers, handler = std::move(handler)](HttpAnswer answer) mutable {
            if (!*alive) {
                return;
            }
            const bool uncertain = answer.delivery == Delivery::Lost;
            const bool mayGoOn = !uncertain || call.mayBeSentAgain();
            if (reachedStore(answer) || !mayGoOn || !hasPeers) {
                handler(std::move(answer));
                return;
            }
            sendThroughPeer(std::move(call), [handler = std::move(handler), uncertain](HttpAnswer relayed) {
                // The direct call may have taken effect, even if the relayed call was rejected.
                if (uncertain && !reachedStore(relayed)) {
                    relayed.delivery = Delivery::Lost;
                }
                handler(std::move(relayed));
            });
        });
}

void StoreRelay::sendDirectly(HttpCall call, Handler handler)
{
    const Instant endsAt = m_environment.clock.now() + longestDuration(call);
    m_environment.client.send(
        std::move(call), [this, alive = m_alive, endsAt, handler = std::move(handler)](HttpAnswer answer) {
            if (!*alive) {
                return;
            }
            // An instance that is short of processor time may read the answer later.
            recordDirectAttempt(reachedStore(answer), std::min(m_environment.clock.now(), endsAt));
            handler(std::move(answer));
        });
}

void StoreRelay::recordDirectAttempt(bool answered, Instant answeredBy)
{
    m_consecutiveFailures = answered ? 0 : m_consecutiveFailures + 1;
    if (answered) {
        m_lastDirectAnswer = std::max(m_lastDirectAnswer.value_or(answeredBy), answeredBy);
        noteStoreAnswer(*m_lastDirectAnswer);
        m_outageConfirmedAt.reset();
    }
    const bool relaying = m_consecutiveFailures >= FailuresBeforeRelay;
    if (relaying != m_relaying) {
        m_relaying = relaying;
        m_environment.log(
            relaying ? "store-unreachable" : "store-reachable", "store", {{"failures", m_consecutiveFailures}});
        if (relaying) {
            pollPeers();
            scheduleProbe();
        }
    }
}

void StoreRelay::noteStoreAnswer(Instant at)
{
    m_lastKnownAnswer = std::max(m_lastKnownAnswer.value_or(at), at);
}

StoreHealthReport StoreRelay::report() const
{
    StoreHealthReport report;
    if (m_lastKnownAnswer) {
        report.answerAge = std::chrono::duration_cast<Milliseconds>(m_environment.clock.now() - *m_lastKnownAnswer);
    }
    report.ownerRevisions = m_environment.ownerRevisions();
    return report;
}

void StoreRelay::applyReport(const std::string &text, Instant askedAt)
{
    const Result<StoreHealthReport> parsed = parseStoreHealthReport(text);
    const auto *report = std::get_if<StoreHealthReport>(&parsed);
    if (report == nullptr) {
        return;
    }
    if (report->answerAge) {
        noteStoreAnswer(askedAt - *report->answerAge);
    }
    m_environment.onOwnerRevisions(report->ownerRevisions);
}

void StoreRelay::scheduleProbe()
{
    m_environment.scheduler.after(DirectProbePeriod, [this, alive = m_alive] {
        if (!*alive || !m_relaying) {
            return;
        }
        sendDirectly(m_environment.probe(), [this, alive](const HttpAnswer &) {
            if (*alive && m_relaying) {
                pollPeers();
                scheduleProbe();
            }
        });
    });
}

std::string StoreRelay::relayPeer() const
{
    const std::vector<std::string> peers = m_peersReachingStore.empty() ? m_environment.peers() : m_peersReachingStore;
    return peers.empty() ? std::string() : peers[m_nextPeer % peers.size()];
}

void StoreRelay::sendThroughPeer(HttpCall call, Handler handler)
{
    const std::string peer = relayPeer();
    if (peer.empty()) {
        HttpAnswer none;
        none.failure = "no other instance is available to relay the call";
        handler(std::move(none));
        return;
    }
    HttpCall relayed;
    relayed.method = "POST";
    relayed.url = "http://" + peer + RelayPath;
    relayed.headers = {{MethodHeader, call.method}, {UrlHeader, call.url},
        {TimeoutHeader, std::to_string(call.timeoutMilliseconds)}, {"Content-Type", "application/json"}};
    relayed.isIdempotent = call.mayBeSentAgain();
    relayed.body = std::move(call.body);
    relayed.timeoutMilliseconds = call.timeoutMilliseconds + PeerMarginMilliseconds;
    const auto waiting = std::make_shared<Handler>(std::move(handler));
    if (call.longAnswer) {
        relayed.headers.push_back({StallHeader, std::to_string(call.longAnswer->stallMilliseconds)});
        relayed.headers.push_back({TotalHeader, std::to_string(call.longAnswer->totalMilliseconds)});
        relayed.longAnswer = call.longAnswer;
        const long lateBy
            = std::min(MaxRelayedTransferMilliseconds, call.longAnswer->totalMilliseconds - call.timeoutMilliseconds);
        relayed.timeoutMilliseconds += lateBy;
        relayed.longAnswer->totalMilliseconds += lateBy;
        const long firstCheck = call.timeoutMilliseconds + PeerMarginMilliseconds - call.longAnswer->stallMilliseconds;
        checkRelay(
            {peer, waiting, Milliseconds(call.longAnswer->stallMilliseconds)}, Milliseconds(std::max(firstCheck, 0L)));
    }
    const Instant sentAt = m_environment.clock.now();
    m_environment.client.send(std::move(relayed), [this, alive = m_alive, sentAt, waiting](HttpAnswer answer) {
        const Handler finish = std::exchange(*waiting, nullptr);
        if (!*alive || !finish) {
            return;
        }
        const bool reached = answer.delivery == Delivery::Answered && answer.status != HttpStatus::BadGateway;
        if (reached && reachedStore(answer)) {
            noteStoreAnswer(sentAt);
        }
        if (!reached) {
            // The next call is relayed by another instance.
            ++m_nextPeer;
        }
        if (answer.delivery == Delivery::Answered && answer.status == HttpStatus::BadGateway) {
            answer.delivery
                = answer.header("Wagtail-Delivery").value_or("") == "not-sent" ? Delivery::NotSent : Delivery::Lost;
        }
        finish(std::move(answer));
    });
}

void StoreRelay::checkRelay(const RelayedCall &relayed, Milliseconds delay)
{
    m_environment.scheduler.after(delay, [this, alive = m_alive, relayed] {
        if (!*alive || !*relayed.handler) {
            return;
        }
        HttpCall call;
        call.method = "GET";
        call.url = "http://" + relayed.peer + HealthPath;
        call.timeoutMilliseconds = static_cast<long>(relayed.checkTimeout.count());
        m_environment.client.send(std::move(call), [this, alive, relayed](const HttpAnswer &answer) {
            if (!*alive || !*relayed.handler) {
                return;
            }
            if (answer.delivery == Delivery::Answered) {
                checkRelay(relayed, relayed.checkTimeout);
                return;
            }
            ++m_nextPeer;
            HttpAnswer lost;
            lost.delivery = Delivery::Lost;
            lost.failure = "the instance that relays the call does not answer";
            std::exchange(*relayed.handler, nullptr)(std::move(lost));
        });
    });
}

bool StoreRelay::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path == HealthPath) {
        respond({isDirectlyReachable() ? HttpStatus::Ok : HttpStatus::BadGateway,
            {{"Content-Type", "application/json"}}, serialize(report())});
        return true;
    }
    if (request.path != RelayPath) {
        return false;
    }
    HttpCall call;
    call.method = request.header(MethodHeader).value_or("GET");
    call.url = request.header(UrlHeader).value_or("");
    call.body = request.body;
    if (!call.body.empty()) {
        call.headers.push_back({"Content-Type", "application/json"});
    }
    call.timeoutMilliseconds = std::clamp(milliseconds(request, TimeoutHeader), 1L, MaxRelayedTimeoutMilliseconds);
    if (request.header(StallHeader)) {
        const long longest = call.timeoutMilliseconds + MaxRelayedTransferMilliseconds;
        call.longAnswer = LongAnswerLimits {std::clamp(milliseconds(request, StallHeader), 1L, longest),
            std::clamp(milliseconds(request, TotalHeader), 1L, longest)};
    }
    sendDirectly(std::move(call), [respond](HttpAnswer answer) {
        HttpResponse response;
        response.headers.push_back({"Content-Type", "application/json"});
        if (answer.delivery == Delivery::Answered) {
            response.status = answer.status;
            response.body = std::move(answer.body);
        } else {
            response.status = HttpStatus::BadGateway;
            response.headers.push_back(
                {"Wagtail-Delivery", answer.delivery == Delivery::NotSent ? "not-sent" : "lost"});
        }
        respond(std::move(response));
    });
    return true;
}

bool StoreRelay::isDirectlyReachable() const
{
    return m_lastDirectAnswer && m_environment.clock.now() - *m_lastDirectAnswer < MaxDirectAnswerAge;
}

void StoreRelay::pollPeers()
{
    const Instant now = m_environment.clock.now();
    if (isDirectlyReachable() || (m_lastPoll && now - *m_lastPoll < PollPeriod)) {
        return;
    }
    m_lastPoll = now;
    struct PeerPoll
    {
        Instant sentAt;
        std::size_t asked = 0;
        std::size_t withoutStore = 0;
        std::size_t pending = 0;
        std::vector<std::string> reachingStore;
    };
    const std::vector<std::string> peers = m_environment.peers();
    auto poll = std::make_shared<PeerPoll>();
    poll->sentAt = now;
    poll->asked = peers.size();
    poll->pending = peers.size();
    for (const std::string &peer : peers) {
        HttpCall call;
        call.method = "GET";
        call.url = "http://" + peer + HealthPath;
        call.timeoutMilliseconds = HealthTimeoutMilliseconds;
        m_environment.client.send(std::move(call), [this, alive = m_alive, poll, peer](const HttpAnswer &answer) {
            if (!*alive) {
                return;
            }
            --poll->pending;
            const bool answered = answer.delivery == Delivery::Answered;
            if (answered && answer.status == HttpStatus::Ok) {
                poll->reachingStore.push_back(peer);
            }
            poll->withoutStore += answered && answer.status == HttpStatus::BadGateway ? 1 : 0;
            if (answered) {
                applyReport(answer.body, poll->sentAt);
            }
            if (poll->pending > 0) {
                return;
            }
            m_peersReachingStore = poll->reachingStore;
            const bool answeredLately = m_lastKnownAnswer && poll->sentAt - *m_lastKnownAnswer < MaxDirectAnswerAge;
            if (!m_peersReachingStore.empty() || answeredLately) {
                m_outageConfirmedAt.reset();
                return;
            }
            // Too few answers neither confirm the outage nor show that it is over.
            if (poll->withoutStore * 2 < poll->asked) {
                return;
            }
            if (!m_outageConfirmedAt) {
                m_environment.log(
                    "store-outage-confirmed", "store", {{"asked", poll->asked}, {"without_store", poll->withoutStore}});
            }
            // An instance that is short of processor time may read the answers when they are no longer true.
            m_outageConfirmedAt = poll->sentAt;
        });
    }
}

bool StoreRelay::isOutageConfirmed() const
{
    return m_outageConfirmedAt && !isDirectlyReachable()
        && m_environment.clock.now() - *m_outageConfirmedAt < OutageConfirmationAge;
}

}
