#include "http/CurlHttpClient.h"

#include "http/CallDeadline.h"
#include "http/DeadlineQueue.h"

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cassert>
#include <cctype>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Wagtail
{

namespace
{

// A socket that libcurl opened, and the events that it waits for.
struct SocketWatch
{
    explicit SocketWatch(asio::io_context &context, int socket) : descriptor(context, socket)
    {
    }

    asio::posix::stream_descriptor descriptor;
    int wanted = CURL_POLL_NONE;
    bool readWaiting = false;
    bool writeWaiting = false;
};

// One transfer: the call, its handler and the answer as it arrives.
struct Transfer
{
    explicit Transfer(HttpCall sentCall) : call(std::move(sentCall)), deadline(call)
    {
    }

    // Returns whether a part of the call was put on the wire.
    [[nodiscard]] bool isSent() const
    {
        long bytes = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &bytes);
        return bytes > 0;
    }

    HttpCall call;
    HttpClient::Handler handler;
    HttpAnswer answer;
    bool hasWholeHead = false;
    curl_slist *headers = nullptr;
    CURL *handle = nullptr;
    const CurlHttpClient::RepeatObserver *onRepeat = nullptr;
    // The last socket that libcurl has opened or taken for the transfer.
    std::weak_ptr<SocketWatch> socket;
    CallDeadline deadline;
    // The time that is in the queue, which progress does not move.
    std::optional<Instant> queuedDeadline;
    bool isFinished = false;
};

// How long a call whose time is over waits for the event loop to handle its socket, before the socket is polled again.
constexpr std::chrono::milliseconds TimeToHandleSockets {20};

// Several times the largest page or list of changes that a store sends.
constexpr std::size_t MaximumAnswerBytes = 64U << 20U;

// Returns whether the text would end a line of a request and begin another one.
bool hasControlCharacters(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char byte) { return std::iscntrl(byte) != 0; });
}

bool isSendable(const HttpCall &call)
{
    return !hasControlCharacters(call.method) && !hasControlCharacters(call.url)
        && std::none_of(call.headers.begin(), call.headers.end(), [](const HttpHeader &header) {
               return hasControlCharacters(header.name) || hasControlCharacters(header.value);
           });
}

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto *transfer = static_cast<Transfer *>(target);
    transfer->deadline.noteProgress(std::chrono::steady_clock::now());
    std::string &body = transfer->answer.body;
    if (body.size() + size * count > MaximumAnswerBytes) {
        // Ends the transfer with an error.
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

std::size_t appendHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    const std::string_view line(data, size * count);
    auto *transfer = static_cast<Transfer *>(target);
    transfer->deadline.noteProgress(std::chrono::steady_clock::now());
    HttpAnswer &answer = transfer->answer;
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        answer.headers.clear();
        transfer->hasWholeHead = false;
    } else if (line == "\r\n" || line == "\n") {
        transfer->hasWholeHead = true;
    } else if (colon != std::string_view::npos) {
        std::string_view value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
            value.remove_prefix(1);
        }
        while (!value.empty() && (value.back() == '\r' || value.back() == '\n' || value.back() == ' ')) {
            value.remove_suffix(1);
        }
        answer.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return size * count;
}

// Called each time when a connection is ready and the call is about to be put on the wire.
int beforeSending(void *target, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(target);
    if (!transfer->isSent()) {
        return transfer->deadline.admitSending(std::chrono::steady_clock::now()) ? CURL_PREREQFUNC_OK
                                                                                 : CURL_PREREQFUNC_ABORT;
    }
    const bool mayRepeat = transfer->call.mayBeSentAgain();
    if (*transfer->onRepeat) {
        using Repetition = CurlHttpClient::Repetition;
        (*transfer->onRepeat)(transfer->call, mayRepeat ? Repetition::Sent : Repetition::Prevented);
    }
    return mayRepeat ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

}

class CurlHttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::io_context &context, long connectionsPerHost, RepeatObserver onRepeat,
        std::optional<std::chrono::seconds> longestIdleTime)
        : m_context(context)
        , m_timer(context)
        , m_idleTimer(context)
        , m_deadlines(context, [this](const std::vector<DeadlineQueue::Key> &due) { onDue(due); })
        , m_onRepeat(std::move(onRepeat))
        , m_connectionsPerHost(connectionsPerHost)
        , m_longestIdleTime(longestIdleTime)
        , m_multi(createMulti())
    {
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    ~Implementation()
    {
        for (const auto &[handle, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi, handle);
            curl_slist_free_all(transfer->headers);
            curl_easy_cleanup(handle);
        }
        for (CURL *handle : m_idleHandles) {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(m_multi);
    }

    void send(HttpCall call, Handler handler)
    {
        if (!isSendable(call)) {
            HttpAnswer unsent;
            unsent.failure = "the method, the URL or a header of the call has a control character";
            asio::post(m_context, [handler = std::move(handler), unsent] { handler(unsent); });
            return;
        }
        auto transfer = std::make_shared<Transfer>(std::move(call));
        transfer->handler = std::move(handler);
        transfer->handle = takeHandle();
        transfer->onRepeat = &m_onRepeat;
        configure(*transfer);
        CURL *const handle = transfer->handle;
        m_transfers.emplace(handle, transfer);
        m_added.push_back(std::move(transfer));
        curl_multi_add_handle(m_multi, handle);
    }

private:
    using Transfers = std::vector<std::shared_ptr<Transfer>>;

    static constexpr long MaximumIdleConnections = 4096;
    static constexpr std::size_t MaximumIdleHandles = 256;

    CURLM *createMulti()
    {
        CURLM *const multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, m_connectionsPerHost);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, MaximumIdleConnections);
        return multi;
    }

    CURL *takeHandle()
    {
        if (m_idleHandles.empty()) {
            return curl_easy_init();
        }
        CURL *const handle = m_idleHandles.back();
        m_idleHandles.pop_back();
        return handle;
    }

    void configure(Transfer &transfer)
    {
        CURL *const handle = transfer.handle;
        const HttpCall &call = transfer.call;
        for (const HttpHeader &header : call.headers) {
            transfer.headers = curl_slist_append(transfer.headers, (header.name + ": " + header.value).c_str());
        }
        transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendBody);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &appendHeader);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &beforeSending);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &Implementation::openSocket);
        curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &Implementation::closeSocket);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
        const long fresh = call.reuse == ConnectionReuse::Forbidden ? 1L : 0L;
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, fresh);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, fresh);
        if (m_longestIdleTime) {
            curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(m_longestIdleTime->count()));
        }
        if (call.method == "GET") {
            curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
            return;
        }
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    }

    static curl_socket_t openSocket(void *self, curlsocktype, curl_sockaddr *address)
    {
        auto *client = static_cast<Implementation *>(self);
        const int flags = SOCK_NONBLOCK | SOCK_CLOEXEC;
        const int socket = ::socket(address->family, address->socktype | flags, address->protocol);
        if (socket < 0) {
            return CURL_SOCKET_BAD;
        }
        enableKeepAlive(socket);
        client->m_sockets.emplace(socket, std::make_shared<SocketWatch>(client->m_context, socket));
        return socket;
    }

    // Without these a long wait on a connection that has gone silent would last until the call's own timeout.
    static void enableKeepAlive(int socket)
    {
        constexpr int Enabled = 1;
        constexpr int IdleSeconds = 1;
        constexpr int ProbeSeconds = 1;
        constexpr int Probes = 2;
        ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &Enabled, sizeof(Enabled));
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof(IdleSeconds));
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds, sizeof(ProbeSeconds));
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
    }

    static int closeSocket(void *self, curl_socket_t socket)
    {
        auto *client = static_cast<Implementation *>(self);
        const auto found = client->m_sockets.find(socket);
        assert(found != client->m_sockets.end());
        found->second->wanted = CURL_POLL_NONE;
        asio::error_code ignored;
        found->second->descriptor.close(ignored);
        client->m_sockets.erase(found);
        return 0;
    }

    static int onSocket(CURL *handle, curl_socket_t socket, int wanted, void *self, void *)
    {
        auto *client = static_cast<Implementation *>(self);
        const auto found = client->m_sockets.find(socket);
        if (found == client->m_sockets.end()) {
            return 0;
        }
        found->second->wanted = wanted == CURL_POLL_REMOVE ? CURL_POLL_NONE : wanted;
        const auto transfer = client->m_transfers.find(handle);
        if (wanted != CURL_POLL_REMOVE && transfer != client->m_transfers.end()) {
            transfer->second->socket = found->second;
        }
        client->wait(found->second);
        return 0;
    }

    void wait(const std::shared_ptr<SocketWatch> &watch)
    {
        if ((watch->wanted & CURL_POLL_IN) != 0 && !watch->readWaiting) {
            watch->readWaiting = true;
            waitFor(watch, asio::posix::stream_descriptor::wait_read, CURL_CSELECT_IN, &SocketWatch::readWaiting);
        }
        if ((watch->wanted & CURL_POLL_OUT) != 0 && !watch->writeWaiting) {
            watch->writeWaiting = true;
            waitFor(watch, asio::posix::stream_descriptor::wait_write, CURL_CSELECT_OUT, &SocketWatch::writeWaiting);
        }
    }

    void waitFor(const std::shared_ptr<SocketWatch> &watch, asio::posix::stream_descriptor::wait_type event, int action,
        bool SocketWatch::*waiting)
    {
        const auto onReady = [weak = weak_from_this(), watch, action, waiting](const asio::error_code &error) {
            const auto self = weak.lock();
            (*watch).*waiting = false;
            if (!self || error) {
                return;
            }
            const int interest = action == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
            if ((watch->wanted & interest) == 0) {
                return;
            }
            self->act(watch->descriptor.native_handle(), action);
            if (watch->descriptor.is_open()) {
                self->wait(watch);
            }
        };
        watch->descriptor.async_wait(event, onReady);
    }

    static int onTimer(CURLM *, long milliseconds, void *self)
    {
        auto *client = static_cast<Implementation *>(self);
        client->m_deadline.reset();
        if (milliseconds == 0) {
            client->actSoon();
        } else if (milliseconds > 0) {
            client->m_deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
            client->arm();
        }
        return 0;
    }

    // Every added transfer asks for attention at once; one turn serves all that were added meanwhile.
    void actSoon()
    {
        if (m_turnPosted) {
            return;
        }
        m_turnPosted = true;
        asio::post(m_context, [weak = weak_from_this()] {
            const auto live = weak.lock();
            if (live) {
                live->m_turnPosted = false;
                live->act(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    // Moving a timer costs a system call, and most deadlines only move away: the timer is left to fire early then.
    void arm()
    {
        if (!m_deadline || (m_armedFor && *m_armedFor <= *m_deadline)) {
            return;
        }
        m_armedFor = m_deadline;
        m_timer.expires_at(*m_deadline);
        m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto live = weak.lock();
            if (live && !error) {
                live->onArmedTime();
            }
        });
    }

    void onArmedTime()
    {
        m_armedFor.reset();
        if (m_deadline && *m_deadline <= std::chrono::steady_clock::now()) {
            m_deadline.reset();
            act(CURL_SOCKET_TIMEOUT, 0);
        }
        arm();
    }

    // Looks at the transfer again at the given time if it has not ended by then.
    void watch(const std::shared_ptr<Transfer> &transfer, Instant time)
    {
        transfer->queuedDeadline = time;
        m_deadlines.add(transfer->handle, time);
    }

    // Gives up the calls whose time is over. The event loop may only be late: calls whose sockets are ready wait until
    // it has handled these.
    void onDue(const std::vector<DeadlineQueue::Key> &keys)
    {
        // Handlers may destroy the client.
        const auto live = shared_from_this();
        const Instant now = std::chrono::steady_clock::now();
        Transfers overdue;
        for (const DeadlineQueue::Key key : keys) {
            const std::shared_ptr<Transfer> &transfer = m_transfers.at(key);
            transfer->queuedDeadline.reset();
            if (now < transfer->deadline.time()) {
                watch(transfer, transfer->deadline.time());
            } else {
                overdue.push_back(transfer);
            }
        }
        const std::vector<bool> ready = areSocketsReady(overdue);
        for (std::size_t i = 0; i < overdue.size(); ++i) {
            const std::shared_ptr<Transfer> &transfer = overdue[i];
            if (ready[i] && transfer->deadline.admitWaiting(now)) {
                watch(transfer, now + TimeToHandleSockets);
            } else {
                finish(transfer->handle, CURLE_OPERATION_TIMEDOUT);
            }
        }
    }

    // Returns for each transfer whether what it waits for has happened at its socket.
    static std::vector<bool> areSocketsReady(const Transfers &transfers)
    {
        std::vector<pollfd> polled;
        polled.reserve(transfers.size());
        for (const std::shared_ptr<Transfer> &transfer : transfers) {
            const std::shared_ptr<SocketWatch> watch = transfer->socket.lock();
            const bool isOpen = watch && watch->descriptor.is_open();
            const int wanted = isOpen ? watch->wanted : CURL_POLL_NONE;
            const int events
                = ((wanted & CURL_POLL_IN) != 0 ? POLLIN : 0) | ((wanted & CURL_POLL_OUT) != 0 ? POLLOUT : 0);
            // Entries with a negative descriptor are passed over.
            polled.push_back({events != 0 ? watch->descriptor.native_handle() : -1, static_cast<short>(events), 0});
        }
        std::vector<bool> ready(transfers.size(), false);
        if (::poll(polled.data(), polled.size(), 0) > 0) {
            std::transform(
                polled.begin(), polled.end(), ready.begin(), [](const pollfd &entry) { return entry.revents != 0; });
        }
        return ready;
    }

    void act(curl_socket_t socket, int action)
    {
        // Each turn begins the transfers that were added before. Their time counts from here on, because the event loop
        // may be late.
        const Transfers begun = std::exchange(m_added, {});
        int running = 0;
        curl_multi_socket_action(m_multi, socket, action, &running);
        if (!begun.empty()) {
            const Instant now = std::chrono::steady_clock::now();
            for (const std::shared_ptr<Transfer> &transfer : begun) {
                transfer->deadline.begin(now);
                watch(transfer, transfer->deadline.time());
            }
        }
        collectFinished();
    }

    void collectFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *handle, CURLcode code)
    {
        const auto found = m_transfers.find(handle);
        assert(found != m_transfers.end());
        const std::shared_ptr<Transfer> transfer = std::move(found->second);
        m_transfers.erase(found);
        transfer->isFinished = true;
        if (transfer->queuedDeadline) {
            m_deadlines.remove(handle, *transfer->queuedDeadline);
        }
        const bool isSent = transfer->isSent();
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(m_multi, handle);
        curl_slist_free_all(transfer->headers);
        curl_easy_reset(handle);
        returnHandle(handle);
        // libcurl reports no error if the connection is closed within the head of an answer.
        const bool isWhole = code == CURLE_OK && transfer->hasWholeHead;
        const bool isTooLate = !transfer->deadline.admitsAnswer(std::chrono::steady_clock::now());
        if (isWhole && !isTooLate) {
            transfer->answer.delivery = Delivery::Answered;
            transfer->answer.status = static_cast<int>(status);
        } else {
            transfer->answer.delivery = isSent ? Delivery::Lost : Delivery::NotSent;
            transfer->answer.failure = isWhole ? "the answer was read too late"
                : code == CURLE_OK             ? "the connection was closed within the head of the answer"
                                               : curl_easy_strerror(code);
        }
        closeConnectionsWhenIdle();
        transfer->handler(std::move(transfer->answer));
    }

    // libcurl closes old connections only when it looks for one, so the last ones would be kept for good.
    void closeConnectionsWhenIdle()
    {
        if (!m_longestIdleTime || !m_transfers.empty()) {
            return;
        }
        // This ends the former wait.
        m_idleTimer.expires_after(*m_longestIdleTime);
        m_idleTimer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
            const auto live = weak.lock();
            if (live && !error && live->m_transfers.empty()) {
                curl_multi_cleanup(live->m_multi);
                live->m_deadline.reset();
                live->m_multi = live->createMulti();
            }
        });
    }

    void returnHandle(CURL *handle)
    {
        if (m_idleHandles.size() >= MaximumIdleHandles) {
            curl_easy_cleanup(handle);
            return;
        }
        m_idleHandles.push_back(handle);
    }

    asio::io_context &m_context;
    asio::steady_timer m_timer;
    asio::steady_timer m_idleTimer;
    DeadlineQueue m_deadlines;
    RepeatObserver m_onRepeat;
    long m_connectionsPerHost;
    std::optional<std::chrono::seconds> m_longestIdleTime;
    std::optional<std::chrono::steady_clock::time_point> m_deadline;
    std::optional<std::chrono::steady_clock::time_point> m_armedFor;
    bool m_turnPosted = false;
    CURLM *m_multi;
    std::unordered_map<int, std::shared_ptr<SocketWatch>> m_sockets;
    std::unordered_map<CURL *, std::shared_ptr<Transfer>> m_transfers;
    // Transfers that libcurl has not begun yet.
    Transfers m_added;
    std::vector<CURL *> m_idleHandles;
};

CurlHttpClient::CurlHttpClient(asio::io_context &context, long connectionsPerHost, RepeatObserver onRepeat,
    std::optional<std::chrono::seconds> longestIdleTime)
    : m_implementation(
        std::make_shared<Implementation>(context, connectionsPerHost, std::move(onRepeat), longestIdleTime))
{
}

CurlHttpClient::~CurlHttpClient() = default;

void CurlHttpClient::send(HttpCall call, Handler handler)
{
    m_implementation->send(std::move(call), std::move(handler));
}

}
