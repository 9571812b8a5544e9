#include "http/PerHostQueue.h"

#include "http/CallDeadline.h"

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>

namespace Wagtail
{

namespace
{

// Returns the host and port of a URL.
std::string hostOf(const std::string &url)
{
    constexpr std::string_view SchemeEnd = "://";
    const std::size_t scheme = url.find(SchemeEnd);
    const std::size_t begin = scheme == std::string::npos ? 0 : scheme + SchemeEnd.size();
    const std::size_t end = url.find_first_of("/?#", begin);
    return url.substr(begin, end == std::string::npos ? end : end - begin);
}

// Enough for a turn of the event loop.
constexpr Milliseconds TimeToReadAnswers {50};

struct WaitingCall
{
    std::uint64_t number = 0;
    HttpCall call;
    HttpClient::Handler handler;
    CallDeadline deadline;
};

struct Host
{
    int open = 0;
    std::deque<WaitingCall> waiting;
};

}

class PerHostQueue::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(const Clock &clock, Scheduler &scheduler, HttpClient &client, int openPerHost)
        : m_clock(clock), m_scheduler(scheduler), m_client(client), m_openPerHost(openPerHost)
    {
    }

    void send(HttpCall call, Handler handler)
    {
        const std::string name = hostOf(call.url);
        Host &host = m_hosts[name];
        if (host.open < m_openPerHost) {
            passOn(name, host, std::move(call), std::move(handler));
            return;
        }
        CallDeadline deadline(call);
        deadline.begin(m_clock.now());
        const std::uint64_t number = ++m_lastNumber;
        host.waiting.push_back({number, std::move(call), std::move(handler), deadline});
        m_scheduler.after(remainingTime(deadline), [weak = weak_from_this(), name, number] {
            if (const auto self = weak.lock()) {
                self->onTimeOver(name, number);
            }
        });
    }

private:
    [[nodiscard]] Milliseconds remainingTime(const CallDeadline &deadline) const
    {
        return std::chrono::duration_cast<Milliseconds>(deadline.time() - m_clock.now());
    }

    void passOn(const std::string &name, Host &host, HttpCall call, Handler handler)
    {
        ++host.open;
        m_client.send(
            std::move(call), [weak = weak_from_this(), name, handler = std::move(handler)](HttpAnswer answer) {
                if (const auto self = weak.lock()) {
                    self->noteEnd(name);
                }
                handler(std::move(answer));
            });
    }

    // Passes the next waiting call on, or forgets the host if no call to it is left.
    void noteEnd(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        assert(host.open > 0);
        --host.open;
        while (!host.waiting.empty() && host.open < m_openPerHost) {
            WaitingCall next = std::move(host.waiting.front());
            host.waiting.pop_front();
            if (!next.deadline.admitSending(m_clock.now())) {
                answerUnsent(std::move(next.handler));
                continue;
            }
            next.call.timeoutMilliseconds = std::max(remainingTime(next.deadline), Milliseconds(1)).count();
            passOn(name, host, std::move(next.call), std::move(next.handler));
        }
        if (host.open == 0) {
            m_hosts.erase(name);
        }
    }

    // Gives a waiting call up. If the event loop is late, the answers that would have freed a connection may only not
    // have been read yet, so they get a moment.
    void onTimeOver(const std::string &name, std::uint64_t number)
    {
        const auto entry = findWaiting(name, number);
        if (!entry) {
            return;
        }
        const bool isLoopLate = -remainingTime((*entry)->deadline) >= CallDeadline::ShortestLoopDelay;
        if (!isLoopLate) {
            giveUp(name, number);
            return;
        }
        m_scheduler.after(TimeToReadAnswers, [weak = weak_from_this(), name, number] {
            if (const auto self = weak.lock()) {
                self->giveUp(name, number);
            }
        });
    }

    void giveUp(const std::string &name, std::uint64_t number)
    {
        if (const auto entry = findWaiting(name, number)) {
            Handler handler = std::move((*entry)->handler);
            m_hosts.at(name).waiting.erase(*entry);
            answerUnsent(std::move(handler));
        }
    }

    [[nodiscard]] std::optional<std::deque<WaitingCall>::iterator> findWaiting(
        const std::string &name, std::uint64_t number)
    {
        const auto host = m_hosts.find(name);
        if (host == m_hosts.end()) {
            return std::nullopt;
        }
        std::deque<WaitingCall> &waiting = host->second.waiting;
        const auto found = std::find_if(
            waiting.begin(), waiting.end(), [number](const WaitingCall &entry) { return entry.number == number; });
        return found == waiting.end() ? std::nullopt : std::optional(found);
    }

    void answerUnsent(Handler handler)
    {
        m_scheduler.post([handler = std::move(handler)] {
            HttpAnswer unsent;
            unsent.delivery = Delivery::NotSent;
            unsent.failure = "no connection to the host was free in time";
            handler(std::move(unsent));
        });
    }

    const Clock &m_clock;
    Scheduler &m_scheduler;
    HttpClient &m_client;
    int m_openPerHost;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::string, Host> m_hosts;
};

PerHostQueue::PerHostQueue(const Clock &clock, Scheduler &scheduler, HttpClient &client, int openPerHost)
    : m_implementation(std::make_shared<Implementation>(clock, scheduler, client, openPerHost))
{
}

PerHostQueue::~PerHostQueue() = default;

void PerHostQueue::send(HttpCall call, Handler handler)
{
    m_implementation->send(std::move(call), std::move(handler));
}

}
