#include "peers/Http2Connection.h"

#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <nghttp2/nghttp2.h>

namespace Wagtail
{

namespace
{

constexpr std::size_t ReadBufferBytes = 65'536;
constexpr std::size_t MaximumBodyBytes = 32U << 20U;
constexpr std::uint32_t MaximumStreams = 4096;
constexpr std::int32_t WindowBytes = 4 << 20;
constexpr std::string_view VersionHeader = "wagtail-protocol";
constexpr std::string_view ErrorHeader = "wagtail-error";
constexpr std::string_view PathPrefix = "/peer/";

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    // The library takes non-const pointers but copies the bytes.
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

Error connectionLost()
{
    return {ErrorKind::Internal, "the connection to the other daemon was lost",
        "ask again whether the call took effect before it is repeated"};
}

}

// The functions that the library calls; each finds its connection in the user data.
struct Http2Connection::Callbacks
{
    static Http2Connection &self(void *data)
    {
        return *static_cast<Http2Connection *>(data);
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *data)
    {
        self(data).m_streams.try_emplace(frame->hd.stream_id);
        return 0;
    }

    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name, std::size_t nameLength,
        const std::uint8_t *value, std::size_t valueLength, std::uint8_t, void *data)
    {
        const auto found = self(data).m_streams.find(frame->hd.stream_id);
        if (found == self(data).m_streams.end()) {
            return 0;
        }
        const std::string_view field(reinterpret_cast<const char *>(name), nameLength);
        std::string content(reinterpret_cast<const char *>(value), valueLength);
        Stream &stream = found->second;
        if (field == ":path") {
            stream.path = std::move(content);
        } else if (field == ":status") {
            stream.status = std::atoi(content.c_str());
        } else if (field == VersionHeader) {
            stream.version = std::move(content);
        } else if (field == ErrorHeader) {
            stream.errorKind = std::move(content);
        }
        return 0;
    }

    static int onData(
        nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *bytes, std::size_t length, void *data)
    {
        const auto found = self(data).m_streams.find(stream);
        if (found == self(data).m_streams.end()) {
            return 0;
        }
        if (found->second.received.size() + length > MaximumBodyBytes) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        found->second.received.append(reinterpret_cast<const char *>(bytes), length);
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *data)
    {
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carriesEnd || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        Http2Connection &connection = self(data);
        const auto found = connection.m_streams.find(frame->hd.stream_id);
        if (found == connection.m_streams.end()) {
            return 0;
        }
        if (connection.m_role == Role::Server) {
            connection.serve(frame->hd.stream_id);
        } else {
            connection.finishCall(frame->hd.stream_id, connection.answerOf(found->second));
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t, void *data)
    {
        Http2Connection &connection = self(data);
        connection.finishCall(stream, connectionLost());
        connection.m_streams.erase(stream);
        return 0;
    }

    static ssize_t readBody(nghttp2_session *, std::int32_t identifier, std::uint8_t *buffer, std::size_t length,
        std::uint32_t *flags, nghttp2_data_source *, void *data)
    {
        const auto found = self(data).m_streams.find(identifier);
        if (found == self(data).m_streams.end()) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        Stream &stream = found->second;
        const std::size_t count = std::min(length, stream.toSend.size() - stream.sentOffset);
        std::copy_n(stream.toSend.data() + stream.sentOffset, count, reinterpret_cast<char *>(buffer));
        stream.sentOffset += count;
        if (stream.sentOffset == stream.toSend.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

Http2Connection::Http2Connection(asio::ip::tcp::socket socket, Role role, PeerHandler handler)
    : m_socket(std::move(socket)), m_role(role), m_handler(std::move(handler)), m_readBuffer(ReadBufferBytes)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &Callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::onStreamClose);
    if (role == Role::Client) {
        nghttp2_session_client_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_server_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 2> settings {{{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaximumStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, WindowBytes);
}

Http2Connection::~Http2Connection()
{
    nghttp2_session_del(m_session);
}

void Http2Connection::start()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    read();
    flush();
}

void Http2Connection::call(PeerMessage message, Milliseconds timeout, PeerCaller::Handler handler)
{
    assert(m_role == Role::Client);
    if (!m_open) {
        handler(Error {ErrorKind::Unavailable, "the connection is closed", "retry"});
        return;
    }
    if (m_streams.size() >= MaximumStreams) {
        handler(Error {ErrorKind::Overloaded, "too many calls wait for the other daemon", "retry later"});
        return;
    }
    const std::string path = std::string(PathPrefix) + message.kind;
    const std::string version = std::to_string(message.protocolVersion);
    const std::array<nghttp2_nv, 5> headers {headerField(":method", "POST"), headerField(":scheme", "http"),
        headerField(":authority", "peer"), headerField(":path", path), headerField(VersionHeader, version)};
    const nghttp2_data_provider provider {{}, &Callbacks::readBody};
    const std::int32_t identifier
        = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (identifier < 0) {
        handler(Error {ErrorKind::Unavailable, "the connection takes no more calls", "retry"});
        close();
        return;
    }
    Stream &stream = m_streams[identifier];
    stream.toSend = std::move(message.body);
    stream.handler = std::move(handler);
    stream.timer = std::make_shared<asio::steady_timer>(m_socket.get_executor(), timeout);
    stream.timer->async_wait([weak = weak_from_this(), identifier](const asio::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || !self->m_streams.contains(identifier)) {
            return;
        }
        nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, identifier, NGHTTP2_CANCEL);
        self->finishCall(identifier, Error {ErrorKind::Internal, "the other daemon did not answer in time", "retry"});
        self->flush();
    });
    flush();
}

Result<std::string> Http2Connection::answerOf(Stream &stream) const
{
    constexpr int StatusOk = 200;
    if (stream.status == StatusOk) {
        return std::move(stream.received);
    }
    const std::size_t separator = stream.received.find('\n');
    const std::string detail = stream.received.substr(0, separator);
    const std::string remedy = separator == std::string::npos ? "retry" : stream.received.substr(separator + 1);
    return Error {errorKindFromName(stream.errorKind), detail, remedy};
}

void Http2Connection::finishCall(std::int32_t stream, Result<std::string> result)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || !found->second.handler) {
        return;
    }
    const PeerCaller::Handler handler = std::move(found->second.handler);
    found->second.handler = nullptr;
    found->second.timer->cancel();
    handler(std::move(result));
}

void Http2Connection::serve(std::int32_t identifier)
{
    Stream &stream = m_streams.at(identifier);
    if (stream.version != std::to_string(PeerProtocolVersion)) {
        reply(identifier,
            Error {ErrorKind::UnsupportedProtocol,
                "protocol version '" + stream.version + "' is not spoken here, only "
                    + std::to_string(PeerProtocolVersion),
                "run the same release on all instances"});
        return;
    }
    if (!stream.path.starts_with(PathPrefix)) {
        reply(identifier, Error {ErrorKind::NotFound, "no such path: " + stream.path, "check the release"});
        return;
    }
    PeerMessage message {stream.path.substr(PathPrefix.size()), std::move(stream.received)};
    const auto executor = m_socket.get_executor();
    m_handler(std::move(message), [weak = weak_from_this(), executor, identifier](Result<std::string> result) {
        asio::post(executor, [weak, identifier, result = std::move(result)] {
            const auto self = weak.lock();
            if (self) {
                self->reply(identifier, result);
            }
        });
    });
}

void Http2Connection::reply(std::int32_t identifier, const Result<std::string> &result)
{
    const auto found = m_streams.find(identifier);
    if (!m_open || found == m_streams.end()) {
        return;
    }
    const Error *error = errorOf(result);
    found->second.toSend = error == nullptr ? std::get<std::string>(result) : error->detail + "\n" + error->remedy;
    const std::string_view kind = error == nullptr ? "none" : nameOf(error->kind);
    const std::array<nghttp2_nv, 2> headers {
        headerField(":status", error == nullptr ? "200" : "500"), headerField(ErrorHeader, kind)};
    const nghttp2_data_provider provider {{}, &Callbacks::readBody};
    nghttp2_submit_response(m_session, identifier, headers.data(), headers.size(), &provider);
    flush();
}

void Http2Connection::read()
{
    const auto onRead = [self = shared_from_this()](const asio::error_code &error, std::size_t count) {
        if (error || !self->m_open) {
            self->close();
            return;
        }
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(self->m_readBuffer.data());
        if (nghttp2_session_mem_recv(self->m_session, bytes, count) < 0) {
            self->close();
            return;
        }
        self->flush();
        self->read();
    };
    m_socket.async_read_some(asio::buffer(m_readBuffer), onRead);
}

void Http2Connection::flush()
{
    if (m_writing || !m_open) {
        return;
    }
    std::string bytes;
    const std::uint8_t *chunk = nullptr;
    ssize_t count = nghttp2_session_mem_send(m_session, &chunk);
    while (count > 0) {
        bytes.append(reinterpret_cast<const char *>(chunk), static_cast<std::size_t>(count));
        if (bytes.size() >= ReadBufferBytes) {
            break;
        }
        count = nghttp2_session_mem_send(m_session, &chunk);
    }
    if (count < 0) {
        close();
        return;
    }
    if (!bytes.empty()) {
        write(std::move(bytes));
    }
}

void Http2Connection::write(std::string bytes)
{
    m_writing = true;
    const auto owned = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(
        m_socket, asio::buffer(*owned), [self = shared_from_this(), owned](const asio::error_code &error, std::size_t) {
            self->m_writing = false;
            if (error) {
                self->close();
                return;
            }
            self->flush();
        });
}

void Http2Connection::close()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    asio::error_code ignored;
    m_socket.close(ignored);
    failAll();
}

void Http2Connection::failAll()
{
    std::vector<std::int32_t> identifiers;
    for (const auto &[identifier, stream] : m_streams) {
        identifiers.push_back(identifier);
    }
    for (const std::int32_t identifier : identifiers) {
        finishCall(identifier, connectionLost());
    }
}

bool Http2Connection::isOpen() const
{
    return m_open;
}

}
