#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wagtail
{

struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// A request as a server received it. The path carries no query.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;

    // Returns the value of a header, compared without regard to case, or nothing.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;

    // Returns the decoded value of a query parameter, or nothing.
    [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const;
};

// What becomes of a connection once its answer is sent.
enum class ConnectionFate {
    Keep,
    Close,
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    ConnectionFate connection = ConnectionFate::Keep;
};

// How far a call got. NotSent means that no byte of it left; Lost means that it may have been received. A call that may
// not be sent again is put on the wire once at most, so an answer is always the answer to that one sending.
enum class Delivery {
    NotSent,
    Lost,
    Answered,
};

// Whether a call may use a connection that served an earlier call. The other side may be closing such a connection, and
// the call is lost then.
enum class ConnectionReuse {
    Allowed,
    Forbidden,
};

// How long an answer of unknown size may take, in milliseconds: at most the stall between its parts, and at most the
// total for the whole exchange.
struct LongAnswerLimits
{
    long stallMilliseconds = 0;
    long totalMilliseconds = 0;

    bool operator==(const LongAnswerLimits &) const = default;
};

// A request to send. The timeout is given in milliseconds. It covers the whole exchange or, if there are limits for a
// long answer, the time until the answer begins.
struct HttpCall
{
    std::string method;
    std::string url;
    HttpHeaders headers;
    std::string body;
    long timeoutMilliseconds = 2000;
    ConnectionReuse reuse = ConnectionReuse::Allowed;
    std::optional<LongAnswerLimits> longAnswer;
    // Whether a copy of the call does no harm, and is answered like the call itself whether or not that was carried
    // out. Reads are idempotent anyway.
    bool isIdempotent = false;

    // Returns whether the call may be put on the wire again when it is unknown whether it arrived.
    [[nodiscard]] bool mayBeSentAgain() const;
};

struct HttpAnswer
{
    Delivery delivery = Delivery::NotSent;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    std::string failure;

    // Returns the value of a header, compared without regard to case, or nothing.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

// Returns the value of the named header, compared without regard to case, or nothing.
[[nodiscard]] std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name);

// Returns the text with every %XX sequence decoded; malformed sequences stay as they are.
[[nodiscard]] std::string percentDecode(std::string_view text);

// Returns the text with all but unreserved characters percent-encoded.
[[nodiscard]] std::string percentEncode(std::string_view text);

}
