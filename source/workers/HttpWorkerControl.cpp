#include "workers/HttpWorkerControl.h"

#include "workers/WorkerCodec.h"

namespace Wagtail
{

namespace
{

constexpr int FirstErrorStatus = 400;
constexpr int StatusConflict = 409;
constexpr int StatusUnprocessable = 422;
constexpr int StatusUnavailable = 503;

// Returns the JSON document of an answer, or an error of the kind that WorkerControl states for the failure.
Result<Json> readAnswer(const HttpAnswer &answer)
{
    if (answer.delivery == Delivery::NotSent) {
        return Error {ErrorKind::Unavailable, "the worker can't be reached: " + answer.failure, "retry"};
    }
    if (answer.delivery == Delivery::Lost) {
        return Error {ErrorKind::Internal, "the worker's answer was lost: " + answer.failure, "ask the worker again"};
    }
    if (answer.status == StatusConflict) {
        return Error {ErrorKind::StaleToken, "the worker has seen a higher fencing token: " + answer.body,
            "stop using this worker"};
    }
    if (answer.status == StatusUnavailable || answer.status == StatusUnprocessable) {
        return Error {ErrorKind::Overloaded, "the worker refused the call: " + answer.body, "choose another worker"};
    }
    if (answer.status >= FirstErrorStatus) {
        return Error {ErrorKind::Internal, "the worker failed: " + answer.body, "check the worker's log"};
    }
    return parseJson(answer.body, "the worker's answer");
}

// Wraps a handler so that it receives the parsed document or the error of an HTTP answer.
template<typename Value, typename Parse>
HttpClient::Handler translate(std::function<void(Result<Value>)> handler, Parse parse)
{
    return [handler = std::move(handler), parse](const HttpAnswer &answer) {
        const Result<Json> document = readAnswer(answer);
        if (const Error *error = errorOf(document)) {
            handler(*error);
            return;
        }
        handler(Value(parse(std::get<Json>(document))));
    };
}

std::monostate ignoreBody(const Json &)
{
    return {};
}

}

HttpWorkerControl::HttpWorkerControl(HttpClient &client, Milliseconds timeout) : m_client(client), m_timeout(timeout)
{
}

HttpCall HttpWorkerControl::createCall(const std::string &address, const std::string &target, std::string body) const
{
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + address + target;
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = std::move(body);
    call.timeoutMilliseconds = static_cast<long>(m_timeout.count());
    return call;
}

void HttpWorkerControl::heartbeat(const std::string &address, Heartbeat heartbeat, Handler<WorkerReport> handler)
{
    m_client.send(createCall(address, "/v1/heartbeat", writeJson(describe(heartbeat))),
        translate<WorkerReport>(std::move(handler), parseWorkerReport));
}

void HttpWorkerControl::start(
    const std::string &address, FencingToken token, TaskStart start, Handler<std::monostate> handler)
{
    Json document = describe(start);
    document["token"] = token;
    m_client.send(createCall(address, "/v1/tasks", writeJson(document)),
        translate<std::monostate>(std::move(handler), ignoreBody));
}

void HttpWorkerControl::stop(
    const std::string &address, FencingToken token, TaskAttempt attempt, Handler<StopAnswer> handler)
{
    Json document = describe(attempt);
    document["token"] = token;
    const auto parse = [](const Json &answer) {
        return StopAnswer {workerTaskStateFromName(memberOr(answer, "state", std::string())),
            memberOr(answer, "incarnation", std::string()), memberOr(answer, "checkpoint", std::string()),
            memberOr(answer, "result", std::string())};
    };
    m_client.send(
        createCall(address, "/v1/tasks/stop", writeJson(document)), translate<StopAnswer>(std::move(handler), parse));
}

void HttpWorkerControl::throttle(
    const std::string &address, FencingToken token, TaskAttempt attempt, int percent, Handler<std::monostate> handler)
{
    Json document = describe(attempt);
    document["token"] = token;
    document["percent"] = percent;
    m_client.send(createCall(address, "/v1/tasks/throttle", writeJson(document)),
        translate<std::monostate>(std::move(handler), ignoreBody));
}

}
