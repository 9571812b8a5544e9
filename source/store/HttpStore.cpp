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

// Translates everything but success into a typed error.
Error failureOf(const HttpAnswer &answer)
{
    if (answer.delivery == Delivery::Answered && answer.status == StatusConflict) {
        return {ErrorKind::Conflict, "the key has another revision: " + answer.body, "read the key again and retry"};
    }
    if (answer.delivery == Delivery::Answered && (answer.status == StatusNotFound || answer.status == StatusGone)) {
        return {ErrorKind::NotFound, "the store has no such key, lease or revision", "read the present state again"};
    }
    const std::string reason
        = answer.delivery == Delivery::Answered ? "status " + std::to_string(answer.status) : answer.failure;
    return {ErrorKind::StoreUnavailable, "the store did not answer: " + reason, "retry when the store is back"};
}

bool succeeded(const HttpAnswer &answer)
{
    return answer.delivery == Delivery::Answered && answer.status == StatusOk;
}

Error malformed()
{
    return {ErrorKind::StoreUnavailable, "the store sent an answer that can't be read", "check the store's version"};
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

// Reads a JSON answer with the given parse function.
template<typename Value, typename Parse> Result<Value> readAnswer(const HttpAnswer &answer, Parse parse)
{
    if (!succeeded(answer)) {
        return failureOf(answer);
    }
    const Result<Json> document = parseJson(answer.body, "the store's answer");
    if (errorOf(document) != nullptr) {
        return malformed();
    }
    return Value(parse(std::get<Json>(document)));
}

}

HttpStore::HttpStore(HttpClient &client, std::string baseAddress, Milliseconds timeout)
    : m_client(client), m_baseAddress(std::move(baseAddress)), m_timeout(timeout)
{
}

HttpCall HttpStore::call(std::string method, const std::string &target, std::string body) const
{
    HttpCall call;
    call.method = std::move(method);
    call.url = m_baseAddress + target;
    call.body = std::move(body);
    call.timeoutMilliseconds = static_cast<long>(m_timeout.count());
    return call;
}

void HttpStore::acknowledge(HttpCall call, Handler<std::monostate> handler)
{
    m_client.send(std::move(call), [handler = std::move(handler)](const HttpAnswer &answer) {
        handler(succeeded(answer) ? Status(std::monostate()) : Status(failureOf(answer)));
    });
}

void HttpStore::read(const std::string &key, Handler<std::optional<StoreEntry>> handler)
{
    m_client.send(call("GET", keyTarget(key)), [handler = std::move(handler)](const HttpAnswer &answer) {
        if (answer.delivery == Delivery::Answered && answer.status == StatusNotFound) {
            handler(std::optional<StoreEntry>());
            return;
        }
        handler(readAnswer<std::optional<StoreEntry>>(answer, parseEntry));
    });
}

void HttpStore::list(const std::string &prefix, Handler<StoreListing> handler)
{
    m_client.send(call("GET", "/v1/keys?prefix=" + percentEncode(prefix)),
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
        call("PUT", target, std::move(write.value)), [handler = std::move(handler)](const HttpAnswer &answer) {
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
    m_client.send(call("POST", "/v1/transactions", writeJson(document)),
        [handler = std::move(handler)](const HttpAnswer &answer) {
            handler(readAnswer<StoreTransactionResult>(answer, [](const Json &present) {
                StoreTransactionResult commit;
                commit.committed = memberOr(present, "committed", false);
                commit.revision = memberOr(present, "revision", StoreRevision {0});
                for (const Json &entry : memberOr(present, "present", Json::array())) {
                    commit.currentEntries.push_back(parseEntry(entry));
                }
                return commit;
            }));
        });
}

void HttpStore::erase(const std::string &key, std::optional<StoreRevision> expected, Handler<std::monostate> handler)
{
    const std::string condition = expected ? "?expect=" + std::to_string(*expected) : std::string();
    acknowledge(call("DELETE", keyTarget(key) + condition), std::move(handler));
}

void HttpStore::eraseRange(const std::string &first, const std::string &end, Handler<std::monostate> handler)
{
    acknowledge(
        call("DELETE", "/v1/keys?first=" + percentEncode(first) + "&end=" + percentEncode(end)), std::move(handler));
}

void HttpStore::grantLease(Milliseconds duration, Handler<LeaseIdentifier> handler)
{
    m_client.send(call("POST", "/v1/leases?duration=" + std::to_string(duration.count())),
        [handler = std::move(handler)](const HttpAnswer &answer) {
            handler(readAnswer<LeaseIdentifier>(
                answer, [](const Json &document) { return memberOr(document, "lease", LeaseIdentifier {0}); }));
        });
}

void HttpStore::renewLease(LeaseIdentifier lease, Handler<std::monostate> handler)
{
    acknowledge(call("POST", "/v1/leases/" + std::to_string(lease)), std::move(handler));
}

void HttpStore::revokeLease(LeaseIdentifier lease, Handler<std::monostate> handler)
{
    acknowledge(call("DELETE", "/v1/leases/" + std::to_string(lease)), std::move(handler));
}

void HttpStore::watch(const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
{
    HttpCall request = call("GET",
        "/v1/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(after)
            + "&wait=" + std::to_string(wait.count()));
    request.timeoutMilliseconds += static_cast<long>(wait.count());
    m_client.send(std::move(request), [handler = std::move(handler)](const HttpAnswer &answer) {
        handler(readAnswer<StoreEvents>(answer, parseEvents));
    });
}

}
