#include "StoreProgram.h"

#include <asio/post.hpp>

namespace Wagtail
{

namespace
{

constexpr Milliseconds TickPeriod {20};

std::uint64_t number(const HttpRequest &request, std::string_view name)
{
    return std::strtoull(request.parameter(name).value_or("0").c_str(), nullptr, 10);
}

std::optional<StoreRevision> expectation(const HttpRequest &request)
{
    return request.parameter("expect") ? std::optional(number(request, "expect")) : std::nullopt;
}

Json describe(const StoreEntry &entry)
{
    return {{"key", entry.key}, {"value", entry.value}, {"revision", entry.revision}, {"lease", entry.lease}};
}

HttpResponse answer(int status, const Json &document)
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

HttpResponse answer(const Error &error)
{
    const int status = error.kind == ErrorKind::Conflict ? 409 : 410;
    return answer(status, {{"detail", error.detail}});
}

template<typename Value> HttpResponse answer(const Result<Value> &result, const Json &document)
{
    const Error *error = errorOf(result);
    return error != nullptr ? answer(*error) : answer(200, document);
}

}

StoreProgram::StoreProgram(asio::io_context &context, const Clock &clock)
    : m_context(context), m_clock(clock), m_store(clock), m_timer(context), m_lastTick(clock.now())
{
    tick();
}

void StoreProgram::tick()
{
    const Instant now = m_clock.now();
    if (isDown() && !m_faults.expireWhileDown) {
        m_store.extendLeases(std::chrono::duration_cast<Milliseconds>(now - m_lastTick));
    } else {
        m_store.advance();
    }
    m_lastTick = now;
    m_timer.expires_after(TickPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

bool StoreProgram::isDown() const
{
    return m_faults.mode == "down" || m_faults.mode == "silent";
}

void StoreProgram::handle(const HttpRequest &request, HttpServer::Responder respond)
{
    if (request.path == "/v1/faults") {
        changeFaults(request, respond);
        return;
    }
    if (request.path == "/v1/statistics") {
        respond(answer(200, Json(m_calls)));
        return;
    }
    if (request.path == "/v1/instances" && request.method == "PUT") {
        serveInstances(request, respond);
        return;
    }
    ++m_calls[request.method + " " + request.path.substr(0, request.path.find('/', 4))];
    if (m_faults.mode == "silent") {
        auto held = std::make_shared<asio::steady_timer>(m_context, std::chrono::minutes(1));
        held->async_wait([held, respond](const asio::error_code &) { respond(answer(503, Json::object())); });
        return;
    }
    if (m_faults.mode == "down") {
        respond(answer(503, {{"detail", "the store is down"}}));
        return;
    }
    if (m_faults.delay.count() > 0) {
        auto later = std::make_shared<asio::steady_timer>(m_context, m_faults.delay);
        later->async_wait([this, later, request, respond](const asio::error_code &) { serve(request, respond); });
        return;
    }
    serve(request, respond);
}

void StoreProgram::serve(const HttpRequest &request, const HttpServer::Responder &respond)
{
    HttpServer::Responder reply = respond;
    if (m_faults.loseAnswers > 0 && request.method != "GET") {
        --m_faults.loseAnswers;
        reply = [respond](const HttpResponse &) {
            respond(answer(504, {{"detail", "the answer was lost"}}));
        };
    }
    if (request.path.starts_with("/v1/keys")) {
        serveKeys(request, reply);
    } else if (request.path.starts_with("/v1/leases")) {
        serveLeases(request, reply);
    } else if (request.path == "/v1/transactions") {
        serveTransaction(request, reply);
    } else if (request.path == "/v1/watch") {
        serveWatch(request, reply);
    } else if (request.path == "/v1/instances") {
        serveInstances(request, reply);
    } else {
        reply(answer(404, {{"detail", "no such path"}}));
    }
}

void StoreProgram::serveKeys(const HttpRequest &request, const HttpServer::Responder &respond)
{
    constexpr std::string_view Prefix = "/v1/keys/";
    const std::string key = request.path.starts_with(Prefix) ? request.path.substr(Prefix.size()) : std::string();
    if (request.method == "PUT") {
        const Result<StoreRevision> result
            = m_store.write({key, request.body, expectation(request), number(request, "lease")});
        const StoreRevision *revision = std::get_if<StoreRevision>(&result);
        respond(answer(result, {{"revision", revision == nullptr ? 0 : *revision}}));
    } else if (request.method == "DELETE" && key.empty()) {
        m_store.eraseRange(request.parameter("first").value_or("?"), request.parameter("end").value_or("?"));
        respond(answer(200, Json::object()));
    } else if (request.method == "DELETE") {
        respond(answer(m_store.erase(key, expectation(request)), Json::object()));
    } else if (key.empty()) {
        const StoreListing listing = m_store.list(request.parameter("prefix").value_or(""));
        Json entries = Json::array();
        for (const StoreEntry &entry : listing.entries) {
            entries.push_back(describe(entry));
        }
        respond(answer(200, {{"revision", listing.revision}, {"entries", entries}}));
    } else {
        const std::optional<StoreEntry> entry = m_store.read(key);
        respond(entry ? answer(200, describe(*entry)) : answer(404, {{"detail", "no such key"}}));
    }
}

void StoreProgram::serveLeases(const HttpRequest &request, const HttpServer::Responder &respond)
{
    constexpr std::string_view Prefix = "/v1/leases/";
    if (!request.path.starts_with(Prefix)) {
        const LeaseIdentifier lease = m_store.grantLease(Milliseconds(number(request, "duration")));
        respond(answer(200, {{"lease", lease}}));
        return;
    }
    const LeaseIdentifier lease = std::strtoull(request.path.substr(Prefix.size()).c_str(), nullptr, 10);
    if (request.method == "DELETE") {
        m_store.revokeLease(lease);
        respond(answer(200, Json::object()));
        return;
    }
    respond(answer(m_store.renewLease(lease), Json::object()));
}

void StoreProgram::serveTransaction(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const Result<Json> parsed = parseJson(request.body, "the transaction");
    if (const Error *error = errorOf(parsed)) {
        respond(answer(400, {{"detail", error->detail}}));
        return;
    }
    const Json &document = std::get<Json>(parsed);
    StoreTransaction transaction;
    for (const Json &condition : memberOr(document, "conditions", Json::array())) {
        transaction.conditions.push_back(
            {memberOr(condition, "key", std::string()), memberOr(condition, "revision", MustNotExist)});
    }
    for (const Json &write : memberOr(document, "writes", Json::array())) {
        transaction.writes.push_back({memberOr(write, "key", std::string()), memberOr(write, "value", std::string()),
            std::nullopt, memberOr(write, "lease", LeaseIdentifier {0})});
    }
    transaction.erasures = memberOr(document, "erasures", std::vector<std::string>());
    const Result<StoreTransactionResult> result = m_store.commit(transaction);
    Json present = Json::array();
    StoreTransactionResult outcome;
    if (const auto *commit = std::get_if<StoreTransactionResult>(&result)) {
        outcome = *commit;
    }
    for (const StoreEntry &entry : outcome.currentEntries) {
        present.push_back(describe(entry));
    }
    respond(answer(
        result, {{"committed", outcome.committed}, {"revision", outcome.revision}, {"present", std::move(present)}}));
}

void StoreProgram::serveWatch(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const auto reply = [respond](const Result<StoreEvents> &result) {
        const StoreEvents *changes = std::get_if<StoreEvents>(&result);
        if (changes == nullptr) {
            respond(answer(std::get<Error>(result)));
            return;
        }
        Json events = Json::array();
        for (const StoreEvent &event : changes->events) {
            Json item = describe(event.entry);
            item["erased"] = event.erased;
            events.push_back(std::move(item));
        }
        respond(answer(200, {{"revision", changes->revision}, {"events", events}}));
    };
    m_store.watch(request.parameter("prefix").value_or(""), number(request, "after"),
        Milliseconds(number(request, "wait")), reply);
}

void StoreProgram::serveInstances(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const Instant now = m_clock.now();
    if (request.method == "PUT") {
        const Result<Json> document = parseJson(request.body, "the instance list");
        if (const Error *error = errorOf(document)) {
            respond(answer(400, {{"detail", error->detail}}));
            return;
        }
        m_listed.push_back({now + m_listLag, std::get<Json>(document)});
        respond(answer(200, Json::object()));
        return;
    }
    while (m_listed.size() > 1 && m_listed[1].visibleFrom <= now) {
        m_listed.pop_front();
    }
    const bool visible = !m_listed.empty() && m_listed.front().visibleFrom <= now;
    Json instances = Json::array();
    const std::string dataCentre = request.parameter("data_centre").value_or("");
    for (const Json &instance : visible ? m_listed.front().instances : Json::array()) {
        if (memberOr(instance, "data_centre", std::string()) == dataCentre) {
            instances.push_back(instance);
        }
    }
    respond(answer(200, {{"instances", instances}}));
}

void StoreProgram::changeFaults(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const Result<Json> parsed = parseJson(request.body, "the faults");
    if (const Error *error = errorOf(parsed)) {
        respond(answer(400, {{"detail", error->detail}}));
        return;
    }
    const Json &document = std::get<Json>(parsed);
    m_faults.mode = memberOr(document, "mode", m_faults.mode);
    m_faults.delay = Milliseconds(memberOr(document, "delay_ms", m_faults.delay.count()));
    m_faults.loseAnswers = memberOr(document, "lose_answers", m_faults.loseAnswers);
    m_faults.expireWhileDown = memberOr(document, "expire_while_down", m_faults.expireWhileDown);
    m_listLag = Milliseconds(memberOr(document, "list_lag_ms", m_listLag.count()));
    respond(answer(200, Json::object()));
}

}
