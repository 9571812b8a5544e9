#include "PlatformStoreApi.h"

#include "http/HttpStatus.h"
#include "logging/Log.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr int StatusForbidden = 403;
constexpr std::size_t MaximumEntriesPerTransaction = 32;
constexpr std::size_t MaximumItemsPerPage = 500;
constexpr std::size_t MaximumBytesPerPage = 1U << 20U;
constexpr std::size_t MaximumKeyBytes = 200;
constexpr std::size_t MaximumDelayedWrites = 1'000;
constexpr std::int64_t LeastLeaseMilliseconds = 1'000;
constexpr std::int64_t MostLeaseMilliseconds = 600'000;
constexpr std::int64_t LongestWaitMilliseconds = 30'000;
constexpr Milliseconds LongestLateness {2'000};
// A renewal, and a read that may be old, are priced as this share of a read.
constexpr double CheapCallPrice = 0.1;

const std::string KeepPath = "/-/kv-keep/";
const std::string EndPath = "/-/kv-lease-end/";

std::int64_t number(const std::string &text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

std::int64_t number(const HttpRequest &request, std::string_view name)
{
    return number(request.parameter(name).value_or("0"));
}

HttpResponse answer(int status, const Json &document = Json::object())
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

Json describe(const StoreEntry &entry)
{
    return {{"Key", entry.key}, {"Value", entry.value}, {"Revision", entry.revision}, {"Lease", entry.lease}};
}

bool isReserved(const std::string &key)
{
    return key.starts_with("op/") || key.starts_with("servers/");
}

bool isWrite(const HttpRequest &request)
{
    return request.path == "/-/kv-txn" || request.path == "/-/kv-lease" || request.path.starts_with(EndPath);
}

StoreTransaction parseTransaction(const Json &document)
{
    StoreTransaction transaction;
    for (const Json &row : memberOr(document, "Precondition", Json::array())) {
        transaction.conditions.push_back(
            {memberOr(row, "Key", std::string()), memberOr(row, "Revision", MustNotExist)});
    }
    for (const Json &row : memberOr(document, "Writes", Json::array())) {
        transaction.writes.push_back({memberOr(row, "Key", std::string()), memberOr(row, "Value", std::string()),
            std::nullopt, memberOr(row, "Lease", LeaseIdentifier {0})});
    }
    transaction.erasures = memberOr(document, "Remove", std::vector<std::string>());
    return transaction;
}

// Returns the status with which the store rejects a transaction whatever its state is, or nothing.
std::optional<int> rejectionOf(const StoreTransaction &transaction, bool byOperator)
{
    std::vector<std::string> keys = transaction.erasures;
    for (const StoreWrite &write : transaction.writes) {
        keys.push_back(write.key);
    }
    const auto isBad = [](const std::string &key) {
        return key.empty() || key.size() > MaximumKeyBytes;
    };
    if (keys.size() + transaction.conditions.size() > MaximumEntriesPerTransaction
        || std::any_of(keys.begin(), keys.end(), isBad)) {
        return HttpStatus::BadRequest;
    }
    if (!byOperator && std::any_of(keys.begin(), keys.end(), isReserved)) {
        return StatusForbidden;
    }
    return std::nullopt;
}

}

PlatformStoreApi::PlatformStoreApi(asio::io_context &context, const Clock &clock, Limits limits, std::uint64_t seed)
    : m_context(context)
    , m_clock(clock)
    , m_store(clock)
    , m_limits(limits)
    , m_random(seed)
    , m_lastAdvance(clock.now())
    , m_secondBegan(clock.now())
{
}

StandinStore &PlatformStoreApi::store()
{
    return m_store;
}

bool PlatformStoreApi::isReachable() const
{
    return !m_faults.silent;
}

void PlatformStoreApi::dropHistory()
{
    m_store.dropHistory();
}

void PlatformStoreApi::advance()
{
    const Instant now = m_clock.now();
    if (m_faults.silent && !m_faults.leasesExpire) {
        m_store.extendLeases(std::chrono::duration_cast<Milliseconds>(now - m_lastAdvance));
    } else {
        m_store.advance();
    }
    m_lastAdvance = now;
}

void PlatformStoreApi::setFaults(const Faults &faults)
{
    advance();
    m_faults = faults;
    if (m_faults.silent) {
        return;
    }
    for (const HttpRequest &request : std::exchange(m_delayedWrites, {})) {
        const Milliseconds lateness(std::uniform_int_distribution<std::int64_t>(0, LongestLateness.count())(m_random));
        after(lateness, [this, request] { serve(request, [](const HttpResponse &) {}); });
    }
}

bool PlatformStoreApi::happens(double share)
{
    return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < share;
}

void PlatformStoreApi::after(Milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &) { action(); });
}

bool PlatformStoreApi::isWithinLimits(const HttpRequest &request)
{
    if (m_clock.now() - m_secondBegan >= std::chrono::seconds(1)) {
        m_secondBegan = m_clock.now();
        m_writes = 0.0;
        m_reads = 0.0;
    }
    if (request.parameter("StaleOk")) {
        return true;
    }
    if (isWrite(request)) {
        m_writes += 1.0;
        return m_writes <= m_limits.writesPerSecond;
    }
    m_reads += request.path.starts_with(KeepPath) ? CheapCallPrice : 1.0;
    return m_reads <= m_limits.readsPerSecond;
}

// A connection on which a call is not answered stays open and silent.
void PlatformStoreApi::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    advance();
    if (m_faults.silent) {
        if (isWrite(request) && m_delayedWrites.size() < MaximumDelayedWrites && happens(m_faults.carryOutLate)) {
            m_delayedWrites.push_back(request);
        }
        return;
    }
    if (happens(m_faults.refuse)) {
        respond(answer(HttpStatus::ServiceUnavailable));
        return;
    }
    if (!isWithinLimits(request)) {
        respond(answer(HttpStatus::TooManyRequests));
        return;
    }
    if (happens(m_faults.loseAnswers)) {
        delayOrServe(request, [](const HttpResponse &) {});
        return;
    }
    // The store may have become silent between the call and its answer.
    delayOrServe(request, [this, respond](HttpResponse response) {
        if (!m_faults.silent) {
            respond(std::move(response));
        }
    });
}

void PlatformStoreApi::delayOrServe(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (m_faults.delay.count() == 0) {
        serve(request, respond);
        return;
    }
    after(m_faults.delay, [this, request, respond] {
        if (!m_faults.silent) {
            serve(request, respond);
        }
    });
}

void PlatformStoreApi::serve(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path == "/-/kv-key") {
        serveKey(request, respond);
    } else if (request.path == "/-/kv-range") {
        serveRange(request, respond);
    } else if (request.path == "/-/kv-watch") {
        serveWatch(request, respond);
    } else if (request.path == "/-/kv-txn") {
        serveTransaction(request, respond);
    } else {
        serveLease(request, respond);
    }
}

void PlatformStoreApi::serveKey(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const std::optional<StoreEntry> entry = m_store.read(request.parameter("Key").value_or(""));
    if (!entry) {
        respond(answer(HttpStatus::NotFound));
        return;
    }
    Json item = describe(*entry);
    item["AsOf"] = m_store.revision();
    respond(answer(HttpStatus::Ok, item));
}

void PlatformStoreApi::serveRange(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const StoreListing listing = m_store.list(request.parameter("Prefix").value_or(""));
    const std::string after = request.parameter("After").value_or("");
    Json items = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (const StoreEntry &entry : listing.entries) {
        if (!after.empty() && entry.key <= after) {
            continue;
        }
        if (items.size() == MaximumItemsPerPage || bytes > MaximumBytesPerPage) {
            more = true;
            break;
        }
        bytes += entry.key.size() + entry.value.size();
        items.push_back(describe(entry));
    }
    respond(answer(HttpStatus::Ok, {{"items", std::move(items)}, {"MorePages", more}, {"AsOf", listing.revision}}));
}

void PlatformStoreApi::serveWatch(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const auto reply = [respond](const Result<StoreEvents> &result) {
        const auto *changes = std::get_if<StoreEvents>(&result);
        if (changes == nullptr) {
            respond(answer(HttpStatus::Gone));
            return;
        }
        Json events = Json::array();
        for (const StoreEvent &event : changes->events) {
            events.push_back(event.erased
                    ? Json {{"Key", event.entry.key}, {"Revision", event.entry.revision}, {"Deleted", true}}
                    : describe(event.entry));
        }
        respond(answer(HttpStatus::Ok, {{"events", std::move(events)}, {"AsOf", changes->revision}}));
    };
    const std::int64_t wait = std::clamp<std::int64_t>(number(request, "WaitMs"), 0, LongestWaitMilliseconds);
    m_store.watch(request.parameter("Prefix").value_or(""), static_cast<StoreRevision>(number(request, "After")),
        Milliseconds(wait), reply);
}

void PlatformStoreApi::serveTransaction(const HttpRequest &request, const HttpServer::Responder &respond)
{
    const Result<Json> parsed = parseJson(request.body, "the transaction");
    if (errorOf(parsed) != nullptr) {
        respond(answer(HttpStatus::BadRequest));
        return;
    }
    const StoreTransaction transaction = parseTransaction(std::get<Json>(parsed));
    const bool byOperator = request.header("Operator").has_value();
    if (const std::optional<int> status = rejectionOf(transaction, byOperator)) {
        log(LogLevel::Error, "transaction-rejected",
            {{"status", *status}, {"conditions", transaction.conditions.size()}, {"writes", transaction.writes.size()},
                {"erasures", transaction.erasures.size()}});
        respond(answer(*status));
        return;
    }
    const Result<StoreTransactionResult> result = m_store.commit(transaction);
    if (errorOf(result) != nullptr) {
        respond(answer(HttpStatus::NotFound));
        return;
    }
    const auto &outcome = std::get<StoreTransactionResult>(result);
    if (outcome.committed) {
        respond(answer(HttpStatus::Ok, {{"Revision", outcome.revision}}));
        return;
    }
    Json items = Json::array();
    for (const StoreCondition &condition : transaction.conditions) {
        const std::optional<StoreEntry> entry = m_store.read(condition.key);
        items.push_back(entry ? describe(*entry) : Json {{"Key", condition.key}, {"Revision", MustNotExist}});
    }
    respond(answer(HttpStatus::PreconditionFailed, {{"items", std::move(items)}}));
}

void PlatformStoreApi::serveLease(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path == "/-/kv-lease") {
        const Result<Json> parsed = parseJson(request.body, "the lease");
        const Json document = errorOf(parsed) == nullptr ? std::get<Json>(parsed) : Json::object();
        const std::int64_t duration
            = std::clamp(memberOr(document, "TtlMs", std::int64_t {0}), LeastLeaseMilliseconds, MostLeaseMilliseconds);
        const LeaseIdentifier lease = m_store.grantLease(Milliseconds(duration));
        respond(answer(HttpStatus::Ok, {{"Lease", lease}, {"TtlMs", duration}}));
    } else if (request.path.starts_with(KeepPath)) {
        const auto lease = static_cast<LeaseIdentifier>(number(request.path.substr(KeepPath.size())));
        const Status status = m_store.renewLease(lease);
        respond(answer(errorOf(status) == nullptr ? HttpStatus::Ok : HttpStatus::NotFound));
    } else if (request.path.starts_with(EndPath)) {
        m_store.revokeLease(static_cast<LeaseIdentifier>(number(request.path.substr(EndPath.size()))));
        respond(answer(HttpStatus::Ok));
    } else {
        respond(answer(HttpStatus::NotFound));
    }
}

}
