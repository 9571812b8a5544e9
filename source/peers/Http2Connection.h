#pragma once

#include "peers/PeerEndpoint.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace Wagtail
{

// One HTTP/2 connection between two daemons: an nghttp2 session over an Asio socket.
// All members are used on the thread of the socket's context.
class Http2Connection final : public std::enable_shared_from_this<Http2Connection>
{
public:
    enum class Role {
        Client,
        Server,
    };

    Http2Connection(asio::ip::tcp::socket socket, Role role, PeerHandler handler);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    // Starts to read and write. The socket must be connected.
    void start();

    // Sends a request on a new stream. Fails with Overloaded when too many calls are waiting.
    void call(PeerMessage message, Milliseconds timeout, PeerCaller::Handler handler);

    void close();

    [[nodiscard]] bool isOpen() const;

private:
    struct Stream
    {
        std::string path;
        std::string version;
        std::string errorKind;
        int status = 0;
        std::string received;
        std::string toSend;
        std::size_t sentOffset = 0;
        PeerCaller::Handler handler;
        std::shared_ptr<asio::steady_timer> timer;
    };

    struct Callbacks;
    friend struct Callbacks;

    void read();
    void flush();
    void write(std::string bytes);
    void finishCall(std::int32_t stream, Result<std::string> result);
    void serve(std::int32_t stream);
    void reply(std::int32_t stream, const Result<std::string> &result);
    void failAll();
    [[nodiscard]] Result<std::string> answerOf(Stream &stream) const;

    asio::ip::tcp::socket m_socket;
    Role m_role;
    PeerHandler m_handler;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<std::int32_t, Stream> m_streams;
    std::vector<char> m_readBuffer;
    bool m_writing = false;
    bool m_open = true;
};

}
