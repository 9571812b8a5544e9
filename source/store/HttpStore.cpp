#include "store/HttpStore.h"

#include "base/JsonReader.h"

namespace Wagtail
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusGone = 410;

std::string keyTarget(const std::string &key)
{
    return "/v1/keys/" + percentEncode(key);
}

// Returns the error for an answer that is not a success.
Error toError(const HttpAnswer &answer)
{
    if (answer.delivery == Delivery::Answered && answer.status == StatusConflict) {
        return {ErrorKind::Conflict, "the key does not have the expected revision: " + answer.body,
            "read the key again and retry"};
    }
    if (answer.delivery == Delivery::Answered && (answer.status == StatusNotFound || answer.status == StatusGone)) {
        return {
            ErrorKind::NotFound, "the store does not have the key, lease or revision", "read the current state again"};
    }
    const std::string reason
        = answer.delivery == Delivery::Answered ? "status " + std::to_string(answer.status) : answer.failure;
    return {
        ErrorKind::StoreUnavailable, "the store did not answer: " + reason, "retry when the store is available again"};
}

bool succeeded(const HttpAnswer &answer)
{
    return answer.delivery == Delivery::Answered && answer.status == StatusOk;
}

Error malformedAnswerError()
{
    return {ErrorKind::StoreUnavailable, "the store's answer is not valid JSON", "check the store's version"};
}

StoreEntry parseEntry(const Json &document)
{
    return {memberOr(document, "key", std::string()), memberOr(document, "value", std::string()),
        memberOr(document, "revision", StoreRevision {0}), memberOr(document, "lease", LeaseIdentifier {0})};
}

StoreListing parseListing(const Json &document)
{
    StoreListing listing;
    listing.revision = memberOr(document, "revision", StoreRevision {0});
    for (const Json &entry : memberOr(document, "entries", Json::array())) {
        listing.entries.push_back(parseEntry(entry));
    }
    return listing;
}

StoreEvents parseEvents(const Json &document)
{
    StoreEvents events;
    events.revision = memberOr(document, "revision", StoreRevision {0});
    for (const Json &event : memberOr(document, "events", Json::array())) {
        events.events.push_back({parseEntry(event), memberOr(event, "erased", false)});
    }
    return events;
}

// Returns the value that the parse function reads from a successful answer, or the error.
template<typename Value, typename Parse> Result<Value> readAnswer(const HttpAnswer &answer, Parse parse)
{
    if (!succeeded(answer)) {
        return toError(answer);
    }
    const Result<Json> document = parseJson(answer.body, "the store's answer");
    if (errorOf(document) != nullptr) {
        return malformedAnswerError();
    }
    return Value(parse(std::get<Json>(document)));
}

}

HttpStore::HttpStore(HttpClient &client, std::string baseAddress, Milliseconds timeout)
    : m_client(client), m_baseAddress(std::move(baseAddress)), m_timeout(timeout)
{
}

HttpCall HttpStore::createCall(std::string method, const std::string &target, std::string body) const
{
    HttpCall call;
    call.method = std::move(method);
    call.url = m_baseAddress + target;
    call.body = std::move(body);
    call.timeoutMilliseconds = static_cast<long>(m_timeout.count());
    return call;
}

void HttpStore::sendWithoutResult(HttpCall call, Handler<std::monostate> handler)
{
    m_client.send(std::move(call), [handler = std::move(handler)](const HttpAnswer &answer) {
        handler(succeeded(answer) ? Status(std::monostate()) : Status(toError(answer)));
    });
}

void HttpStore::read(const std::string &key, Handler<std::optional<StoreEntry>> handler)
{
    m_client.send(createCall("GET", keyTarget(key)), [handler = std::move(handler)](const HttpAnswer &answer) {
        if (answer.delivery == Delivery::Answered && answer.status == StatusNotFound) {
            handler(std::optional<StoreEntry>());
            return;
        }
        handler(readAnswer<std::optional<StoreEntry>>(answer, parseEntry));
    });
}

void HttpStore::list(const std::string &prefix, Handler<StoreListing> handler)
{
    m_client.send(createCall("GET", "/v1/keys?prefix=" + percentEncode(prefix)),
        [handler = std::move(handler)](
            const HttpAnswer &answer) { handler(readAnswer<StoreListing>(answer, parseListing)); });
}

void HttpStore::write(StoreWrite write, Handler<StoreRevision> handler)
{
    std::string target = keyTarget(write.key) + "?lease=" + std::to_string(write.lease);
    if (write.expected) {
        target += "&expect=" + std::to_string(*write.expected);
    }
    m_client.send(
        createCall("PUT", target, std::move(write.value)), [handler = std::move(handler)](const HttpAnswer &answer) {
            handler(readAnswer<StoreRevision>(
                answer, [](const Json &document) { return memberOr(document, "revision", StoreRevision {0}); }));
        });
}

void HttpStore::commit(StoreTransaction transaction, Handler<StoreTransactionResult> handler)
{
    Json document = {{"conditions", Json::array()}, {"writes", Json::array()}, {"erasures", transaction.erasures}};
    for (const StoreCondition &condition : transaction.conditions) {
        document["conditions"].push_back({{"key", condition.key}, {"revision", condition.revision}});
    }
    for (const StoreWrite &write : transaction.writes) {
        document["writes"].push_back({{"key", write.key}, {"value", write.value}, {"lease", write.lease}});
    }
    m_client.send(createCall("POST", "/v1/transactions", writeJson(document)),
        [handler = std::move(handler)](const HttpAnswer &answer) {
            handler(readAnswer<StoreTransactionResult>(answer, [](const Json &response) {
                StoreTransactionResult result;
                result.committed = memberOr(response, "committed", false);
                result.revision = memberOr(response, "revision", StoreRevision {0});
                for (const Json &entry : memberOr(response, "present", Json::array())) {
                    result.currentEntries.push_back(parseEntry(entry));
                }
                return result;
            }));
        });
}

void HttpStore::erase(const std::string &key, std::optional<StoreRevision> expected, Handler<std::monostate> handler)
{
    const std::string condition = expected ? "?expect=" + std::to_string(*expected) : std::string();
    sendWithoutResult(createCall("DELETE", keyTarget(key) + condition), std::move(handler));
}

void HttpStore::eraseRange(const std::string &first, const std::string &end, Handler<std::monostate> handler)
{
    sendWithoutResult(createCall("DELETE", "/v1/keys?first=" + percentEncode(first) + "&end=" + percentEncode(end)),
        std::move(handler));
}

void HttpStore::grantLease(Milliseconds duration, Handler<LeaseIdentifier> handler)
{
    m_client.send(createCall("POST", "/v1/leases?duration=" + std::to_string(duration.count())),
        [handler = std::move(handler)](const HttpAnswer &answer) {
            handler(readAnswer<LeaseIdentifier>(
                answer, [](const Json &document) { return memberOr(document, "lease", LeaseIdentifier {0}); }));
        });
}

void HttpStore::renewLease(LeaseIdentifier lease, Handler<std::monostate> handler)
{
    HttpCall call = createCall("POST", "/v1/leases/" + std::to_string(lease));
    // A lease that is renewed twice lasts a little longer, and one that is renewed too late is lost.
    call.isIdempotent = true;
    sendWithoutResult(std::move(call), std::move(handler));
}

void HttpStore::revokeLease(LeaseIdentifier lease, Handler<std::monostate> handler)
{
    sendWithoutResult(createCall("DELETE", "/v1/leases/" + std::to_string(lease)), std::move(handler));
}

void HttpStore::watch(const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
{
    HttpCall request = createCall("GET",
        "/v1/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(after)
            + "&wait=" + std::to_string(wait.count()));
    request.timeoutMilliseconds += static_cast<long>(wait.count());
    m_client.send(std::move(request), [handler = std::move(handler)](const HttpAnswer &answer) {
        handler(readAnswer<StoreEvents>(answer, parseEvents));
    });
}

}
