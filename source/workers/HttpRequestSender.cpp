#include "workers/HttpRequestSender.h"

#include <asio/post.hpp>

namespace Wagtail
{

namespace
{

constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

RequestResult failedResult(Outcome outcome, ErrorKind kind, std::string detail)
{
    const std::string remedy = outcome == Outcome::NotRun
        ? "send the request again"
        : "check at the upstream whether the request ran; send it again only if it is idempotent";
    return {outcome, 0, {}, {}, {kind, std::move(detail), remedy}};
}

// Returns whether the worker states that it refused the request without running it.
bool refusedBeforeRunning(const HttpAnswer &answer)
{
    const bool marked = answer.header("Wagtail-Refused").has_value();
    return marked && (answer.status == StatusConflict || answer.status == StatusUnavailable);
}

bool belongsTo(const RequestAttempt &attempt, const HttpAnswer &answer)
{
    return answer.header("Wagtail-Request") == attempt.request
        && answer.header("Wagtail-Attempt") == std::to_string(attempt.attempt);
}

bool isComplete(const HttpAnswer &answer)
{
    const std::optional<std::string> length = answer.header("Wagtail-Length");
    return !length || *length == std::to_string(answer.body.size());
}

}

HttpRequestSender::HttpRequestSender(asio::io_context &context, HttpClient &client)
    : m_context(context), m_client(client)
{
}

void HttpRequestSender::send(RequestAttempt attempt, Handler handler)
{
    asio::post(m_context, [this, attempt = std::move(attempt), handler = std::move(handler)]() mutable {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + attempt.workerAddress + "/v1/requests";
        call.headers = {{"Wagtail-Request", attempt.request}, {"Wagtail-Attempt", std::to_string(attempt.attempt)},
            {"Wagtail-Token", std::to_string(attempt.token)}, {"Wagtail-Profile", attempt.profile},
            {"Content-Type", "application/octet-stream"}};
        if (!attempt.idempotent) {
            call.headers.push_back({"Wagtail-Once", "1"});
        }
        call.body = std::move(attempt.body);
        call.timeoutMilliseconds = static_cast<long>(attempt.timeoutMilliseconds);
        call.reuse = attempt.idempotent ? ConnectionReuse::Allowed : ConnectionReuse::Forbidden;
        m_client.send(std::move(call), [attempt = std::move(attempt), handler = std::move(handler)](HttpAnswer answer) {
            handler(interpret(attempt, std::move(answer)));
        });
    });
}

RequestResult HttpRequestSender::interpret(const RequestAttempt &attempt, HttpAnswer answer)
{
    if (answer.delivery == Delivery::NotSent) {
        return failedResult(Outcome::NotRun, ErrorKind::Unavailable, "the worker can't be reached: " + answer.failure);
    }
    if (answer.delivery == Delivery::Lost) {
        return failedResult(
            Outcome::Unknown, ErrorKind::Unavailable, "the worker's answer was lost: " + answer.failure);
    }
    if (refusedBeforeRunning(answer)) {
        const ErrorKind kind = answer.status == StatusConflict ? ErrorKind::StaleToken : ErrorKind::Overloaded;
        return failedResult(Outcome::NotRun, kind, "the worker refused the request before running it");
    }
    if (!belongsTo(attempt, answer)) {
        return failedResult(
            Outcome::Unknown, ErrorKind::Internal, "the worker's answer belongs to another request or attempt");
    }
    if (!isComplete(answer)) {
        return failedResult(Outcome::Unknown, ErrorKind::Internal, "the worker's answer was truncated");
    }
    std::string type = answer.header("Content-Type").value_or("application/octet-stream");
    return {Outcome::Done, answer.status, std::move(type), std::move(answer.body), {}};
}

}
