#include "tenure/StoreRelay.h"

#include "http/HttpStatus.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr const char *RelayPath = "/v1/store-relay";
constexpr const char *HealthPath = "/v1/store-health";
constexpr const char *MethodHeader = "Wagtail-Method";
constexpr const char *UrlHeader = "Wagtail-Url";
constexpr const char *TimeoutHeader = "Wagtail-Timeout-Ms";
// One failure may be a lost answer; two in a row mean that the way is closed.
constexpr int FailuresBeforeRelay = 2;
// While relaying, a direct read this often finds out whether the way is open again.
constexpr Milliseconds DirectProbePeriod {700};
// The lease is renewed more often than this, so a store that answers is noticed within it.
constexpr Milliseconds DirectAnswerAge {1'700};
constexpr Milliseconds OutageAge {2'500};
constexpr Milliseconds SurveyPeriod {500};
constexpr long PeerMarginMilliseconds = 150;
constexpr long HealthTimeoutMilliseconds = 300;
constexpr long LongestRelayedTimeout = 60'000;

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
    sendDirectly(call, [this, alive = m_alive, call, handler = std::move(handler)](HttpAnswer answer) mutable {
        if (!*alive) {
            return;
        }
        if (reachedStore(answer) || m_environment.peers().empty()) {
            handler(std::move(answer));
            return;
        }
        const bool uncertain = answer.delivery == Delivery::Lost;
        sendThroughPeer(std::move(call), [handler = std::move(handler), uncertain](HttpAnswer relayed) {
            // The first call may have arrived, so that a refusal of the second says nothing about it.
            if (uncertain && !reachedStore(relayed)) {
                relayed.delivery = Delivery::Lost;
            }
            handler(std::move(relayed));
        });
    });
}

void StoreRelay::sendDirectly(HttpCall call, Handler handler)
{
    m_environment.client.send(
        std::move(call), [this, alive = m_alive, handler = std::move(handler)](HttpAnswer answer) {
            if (!*alive) {
                return;
            }
            noteDirect(reachedStore(answer));
            handler(std::move(answer));
        });
}

void StoreRelay::noteDirect(bool answered)
{
    m_failuresInRow = answered ? 0 : m_failuresInRow + 1;
    if (answered) {
        m_lastDirectAnswer = m_environment.clock.now();
        m_outageConfirmedAt.reset();
    }
    const bool relaying = m_failuresInRow >= FailuresBeforeRelay;
    if (relaying != m_relaying) {
        m_relaying = relaying;
        m_environment.log(
            relaying ? "store-unreachable" : "store-reached-again", "store", {{"failures", m_failuresInRow}});
        if (relaying) {
            survey();
            probeLater();
        }
    }
}

void StoreRelay::probeLater()
{
    m_environment.scheduler.after(DirectProbePeriod, [this, alive = m_alive] {
        if (!*alive || !m_relaying) {
            return;
        }
        sendDirectly(m_environment.probe(), [this, alive](const HttpAnswer &) {
            if (*alive && m_relaying) {
                survey();
                probeLater();
            }
        });
    });
}

std::string StoreRelay::relayPeer() const
{
    const std::vector<std::string> peers = m_reaching.empty() ? m_environment.peers() : m_reaching;
    return peers.empty() ? std::string() : peers[m_nextPeer % peers.size()];
}

void StoreRelay::sendThroughPeer(HttpCall call, Handler handler)
{
    const std::string peer = relayPeer();
    if (peer.empty()) {
        HttpAnswer none;
        none.failure = "no other instance is known";
        handler(std::move(none));
        return;
    }
    HttpCall relayed;
    relayed.method = "POST";
    relayed.url = "http://" + peer + RelayPath;
    relayed.headers = {{MethodHeader, call.method}, {UrlHeader, call.url},
        {TimeoutHeader, std::to_string(call.timeoutMilliseconds)}, {"Content-Type", "application/json"}};
    relayed.body = std::move(call.body);
    relayed.timeoutMilliseconds = call.timeoutMilliseconds + PeerMarginMilliseconds;
    m_environment.client.send(
        std::move(relayed), [this, alive = m_alive, handler = std::move(handler)](HttpAnswer answer) {
            if (!*alive) {
                return;
            }
            const bool reached = answer.delivery == Delivery::Answered && answer.status != HttpStatus::BadGateway;
            if (!reached) {
                // The next call takes another way.
                ++m_nextPeer;
            }
            if (answer.delivery == Delivery::Answered && answer.status == HttpStatus::BadGateway) {
                answer.delivery
                    = answer.header("Wagtail-Delivery").value_or("") == "not-sent" ? Delivery::NotSent : Delivery::Lost;
            }
            handler(std::move(answer));
        });
}

bool StoreRelay::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path == HealthPath) {
        respond({answersDirectly() ? HttpStatus::Ok : HttpStatus::BadGateway, {}, {}});
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
    const long timeout = std::strtol(request.header(TimeoutHeader).value_or("0").c_str(), nullptr, 10);
    call.timeoutMilliseconds = std::clamp(timeout, 1L, LongestRelayedTimeout);
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

bool StoreRelay::answersDirectly() const
{
    return m_lastDirectAnswer && m_environment.clock.now() - *m_lastDirectAnswer < DirectAnswerAge;
}

void StoreRelay::survey()
{
    const Instant now = m_environment.clock.now();
    if (answersDirectly() || (m_lastSurvey && now - *m_lastSurvey < SurveyPeriod)) {
        return;
    }
    m_lastSurvey = now;
    struct Votes
    {
        std::size_t asked = 0;
        std::size_t away = 0;
        std::size_t open = 0;
        std::vector<std::string> reaching;
    };
    const std::vector<std::string> peers = m_environment.peers();
    auto votes = std::make_shared<Votes>();
    votes->asked = peers.size();
    votes->open = peers.size();
    for (const std::string &peer : peers) {
        HttpCall call;
        call.method = "GET";
        call.url = "http://" + peer + HealthPath;
        call.timeoutMilliseconds = HealthTimeoutMilliseconds;
        m_environment.client.send(std::move(call), [this, alive = m_alive, votes, peer](const HttpAnswer &answer) {
            if (!*alive) {
                return;
            }
            --votes->open;
            const bool answered = answer.delivery == Delivery::Answered;
            if (answered && answer.status == HttpStatus::Ok) {
                votes->reaching.push_back(peer);
            }
            votes->away += answered && answer.status == HttpStatus::BadGateway ? 1 : 0;
            if (votes->open > 0) {
                return;
            }
            m_reaching = votes->reaching;
            if (!m_reaching.empty() || votes->away * 2 < votes->asked) {
                m_outageConfirmedAt.reset();
                return;
            }
            if (!m_outageConfirmedAt) {
                m_environment.log(
                    "store-outage-confirmed", "store", {{"asked", votes->asked}, {"without_store", votes->away}});
            }
            m_outageConfirmedAt = m_environment.clock.now();
        });
    }
}

bool StoreRelay::isOutageConfirmed() const
{
    return m_outageConfirmedAt && !answersDirectly() && m_environment.clock.now() - *m_outageConfirmedAt < OutageAge;
}

}
